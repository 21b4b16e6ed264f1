package io.caperturn.entry.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.caperturn.core.model.Repeatability;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.core.model.Urgency;
import io.caperturn.settings.EntrySettings.RequestBounds;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;

/**
 * Parser of the JSON bodies of {@code POST /v1/jobs} and {@code POST /v1/requests}. A job has several tasks; a request
 * is one.
 */
final class SubmissionParser {
    private static final int BAD_REQUEST = 400;
    private static final int MAXIMUM_NAME_LENGTH = 200;
    private static final Set<String> JOB_MEMBERS = Set.of("team", "kind", "urgency", "deadlineMilliseconds", "tasks");
    private static final Set<String> TASK_MEMBERS = Set.of("id", "estimateMilliseconds", "payload");
    private static final Set<String> REQUEST_MEMBERS =
            Set.of("team", "kind", "urgency", "deadlineMilliseconds", "idempotent", "estimateMilliseconds", "payload");

    private final RequestBounds bounds;
    private final ObjectMapper mapper = JsonMapper.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build();

    SubmissionParser(RequestBounds bounds) {
        this.bounds = bounds;
    }

    SubmissionParseResult parseJob(byte[] body, Optional<String> idempotencyKey, Instant now) {
        try {
            JsonNode root = parseObject(body, JOB_MEMBERS);
            if (idempotencyKey.isEmpty()) {
                throw new InvalidRequestException("the header Idempotency-Key is missing");
            }
            JsonNode tasks = root.path("tasks");
            if (!tasks.isArray() || tasks.isEmpty()) {
                throw new InvalidRequestException("tasks: must be an array of at least one task");
            }
            if (tasks.size() > bounds.maximumTasks()) {
                throw new InvalidRequestException(
                        "tasks: " + tasks.size() + " tasks, the maximum is " + bounds.maximumTasks());
            }
            List<TaskSpec> specs = new ArrayList<>(tasks.size());
            Set<String> seenIds = new HashSet<>();
            for (int index = 0; index < tasks.size(); index++) {
                TaskSpec spec = parseTask(tasks.get(index), "tasks[" + index + "]");
                if (!seenIds.add(spec.id())) {
                    throw new InvalidRequestException("tasks[" + index + "].id: duplicate task id " + spec.id());
                }
                specs.add(spec);
            }
            return createSubmission(root, idempotencyKey.get(), Repeatability.AT_MOST_ONCE, specs, now);
        } catch (InvalidRequestException e) {
            return new SubmissionParseResult.Invalid(BAD_REQUEST, e.getMessage());
        }
    }

    SubmissionParseResult parseRequest(byte[] body, Optional<String> idempotencyKey, Instant now) {
        try {
            JsonNode root = parseObject(body, REQUEST_MEMBERS);
            JsonNode idempotent = root.path("idempotent");
            if (!idempotent.isMissingNode() && !idempotent.isBoolean()) {
                throw new InvalidRequestException("idempotent: must be true or false");
            }
            boolean isIdempotent = idempotent.asBoolean(/* defaultValue= */ true);
            if (!isIdempotent && idempotencyKey.isEmpty()) {
                throw new InvalidRequestException("a non-idempotent request needs the header Idempotency-Key");
            }
            // A request consists of one task, whose id is always 1.
            TaskSpec spec = new TaskSpec("1", parseEstimate(root, /* pathPrefix= */ ""), parsePayload(root));
            return createSubmission(
                    root,
                    idempotencyKey.orElseGet(() -> UUID.randomUUID().toString()),
                    isIdempotent ? Repeatability.IDEMPOTENT : Repeatability.AT_MOST_ONCE,
                    List.of(spec),
                    now);
        } catch (InvalidRequestException e) {
            return new SubmissionParseResult.Invalid(BAD_REQUEST, e.getMessage());
        }
    }

    private SubmissionParseResult createSubmission(
            JsonNode root, String idempotencyKey, Repeatability repeatability, List<TaskSpec> tasks, Instant now)
            throws InvalidRequestException {
        String team = parseName(root, "team", /* pathPrefix= */ "");
        String kind = parseName(root, "kind", /* pathPrefix= */ "");
        if (idempotencyKey.isBlank() || idempotencyKey.length() > MAXIMUM_NAME_LENGTH) {
            throw new InvalidRequestException("Idempotency-Key: must have 1 to " + MAXIMUM_NAME_LENGTH + " characters");
        }
        Optional<Urgency> urgency = parseUrgency(root);
        Duration deadline = parseDeadline(root);
        return new SubmissionParseResult.Valid(new Submission(
                new SubmissionId(team, idempotencyKey),
                kind,
                urgency,
                repeatability,
                now.plus(deadline),
                computeDigest(kind, urgency, repeatability, tasks),
                tasks));
    }

    private JsonNode parseObject(byte[] body, Set<String> members) throws InvalidRequestException {
        JsonNode root;
        try {
            root = mapper.readTree(body);
        } catch (JsonProcessingException e) {
            throw new InvalidRequestException("not JSON: " + e.getOriginalMessage());
        } catch (java.io.IOException e) {
            throw new InvalidRequestException("not JSON: " + e.getMessage());
        }
        if (root == null || !root.isObject()) {
            throw new InvalidRequestException("the body must be a JSON object");
        }
        checkMembers(root, members, /* pathPrefix= */ "");
        return root;
    }

    private static void checkMembers(JsonNode node, Set<String> members, String pathPrefix)
            throws InvalidRequestException {
        for (var names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!members.contains(name)) {
                throw new InvalidRequestException(pathPrefix + name + ": unknown member");
            }
        }
    }

    private TaskSpec parseTask(JsonNode task, String path) throws InvalidRequestException {
        if (!task.isObject()) {
            throw new InvalidRequestException(path + ": must be an object");
        }
        checkMembers(task, TASK_MEMBERS, path + ".");
        return new TaskSpec(parseName(task, "id", path + "."), parseEstimate(task, path + "."), parsePayload(task));
    }

    private static String parseName(JsonNode node, String member, String pathPrefix) throws InvalidRequestException {
        JsonNode value = node.path(member);
        boolean valid = value.isTextual()
                && !value.textValue().isBlank()
                && value.textValue().length() <= MAXIMUM_NAME_LENGTH
                && value.textValue().chars().noneMatch(Character::isISOControl);
        if (!valid) {
            throw new InvalidRequestException(pathPrefix + member + ": must be a string of 1 to " + MAXIMUM_NAME_LENGTH
                    + " characters, without control characters");
        }
        return value.textValue();
    }

    private static String parsePayload(JsonNode node) {
        JsonNode payload = node.path("payload");
        return payload.isMissingNode() ? "null" : payload.toString();
    }

    private Optional<Duration> parseEstimate(JsonNode node, String pathPrefix) throws InvalidRequestException {
        JsonNode value = node.path("estimateMilliseconds");
        if (value.isMissingNode()) {
            return Optional.empty();
        }
        boolean valid = value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= 0
                && value.longValue() <= bounds.maximumDeadlineMilliseconds();
        if (!valid) {
            throw new InvalidRequestException(pathPrefix + "estimateMilliseconds: must be an integer from 0 to "
                    + bounds.maximumDeadlineMilliseconds());
        }
        return Optional.of(Duration.ofMillis(value.longValue()));
    }

    private static Optional<Urgency> parseUrgency(JsonNode root) throws InvalidRequestException {
        JsonNode value = root.path("urgency");
        if (value.isMissingNode()) {
            return Optional.empty();
        }
        for (Urgency urgency : Urgency.values()) {
            if (value.isTextual() && urgency.name().equals(value.textValue().toUpperCase(Locale.ROOT))) {
                return Optional.of(urgency);
            }
        }
        throw new InvalidRequestException("urgency: must be urgent, normal or background");
    }

    private Duration parseDeadline(JsonNode root) throws InvalidRequestException {
        JsonNode value = root.path("deadlineMilliseconds");
        boolean valid = value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= 1
                && value.longValue() <= bounds.maximumDeadlineMilliseconds();
        if (!valid) {
            throw new InvalidRequestException(
                    "deadlineMilliseconds: must be an integer from 1 to " + bounds.maximumDeadlineMilliseconds());
        }
        return Duration.ofMillis(value.longValue());
    }

    /**
     * Computes the digest that shows whether a retry under the same key has the same content. The deadline and the
     * estimates are left out, so a retry may change them.
     */
    private static String computeDigest(
            String kind, Optional<Urgency> urgency, Repeatability repeatability, List<TaskSpec> tasks) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            updateDigest(digest, kind);
            updateDigest(digest, urgency.map(Urgency::name).orElse(""));
            updateDigest(digest, repeatability.name());
            for (TaskSpec task : tasks) {
                updateDigest(digest, task.id());
                updateDigest(digest, task.payload());
            }
            return HexFormat.of().formatHex(digest.digest());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    private static void updateDigest(MessageDigest digest, String part) {
        digest.update(part.getBytes(StandardCharsets.UTF_8));
        // A zero byte ends each part, so that the same text divided differently gives another digest.
        digest.update((byte) 0);
    }

    /** Thrown where the request is invalid; its message is the detail of the response. */
    private static final class InvalidRequestException extends Exception {
        private static final long serialVersionUID = 1L;

        InvalidRequestException(String message) {
            super(message, /* cause= */ null, /* enableSuppression= */ false, /* writableStackTrace= */ false);
        }
    }
}
