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

/** Parser of the JSON bodies of {@code POST /v1/jobs} and {@code POST /v1/requests}. */
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

    SubmissionParseResult parseJob(byte[] body, Optional<String> key, Instant now) {
        try {
            JsonNode root = parseObject(body, JOB_MEMBERS);
            if (key.isEmpty()) {
                throw new MalformedException("the header Idempotency-Key is missing");
            }
            JsonNode tasks = root.path("tasks");
            if (!tasks.isArray() || tasks.isEmpty()) {
                throw new MalformedException("tasks: must be an array of at least one task");
            }
            if (tasks.size() > bounds.maximumTasks()) {
                throw new MalformedException(
                        "tasks: " + tasks.size() + " tasks, the maximum is " + bounds.maximumTasks());
            }
            List<TaskSpec> specs = new ArrayList<>(tasks.size());
            Set<String> seen = new HashSet<>();
            for (int index = 0; index < tasks.size(); index++) {
                TaskSpec spec = parseTask(tasks.get(index), "tasks[" + index + "]");
                if (!seen.add(spec.id())) {
                    throw new MalformedException("tasks[" + index + "].id: duplicate task id " + spec.id());
                }
                specs.add(spec);
            }
            return createSubmission(root, key.get(), Repeatability.AT_MOST_ONCE, specs, now);
        } catch (MalformedException e) {
            return new SubmissionParseResult.Malformed(BAD_REQUEST, e.getMessage());
        }
    }

    SubmissionParseResult parseRequest(byte[] body, Optional<String> key, Instant now) {
        try {
            JsonNode root = parseObject(body, REQUEST_MEMBERS);
            JsonNode idempotent = root.path("idempotent");
            if (!idempotent.isMissingNode() && !idempotent.isBoolean()) {
                throw new MalformedException("idempotent: must be true or false");
            }
            boolean isIdempotent = idempotent.asBoolean(true);
            if (!isIdempotent && key.isEmpty()) {
                throw new MalformedException("a non-idempotent request needs the header Idempotency-Key");
            }
            // A request consists of one task, whose id is always 1.
            TaskSpec spec = new TaskSpec("1", parseEstimate(root, ""), parsePayload(root));
            return createSubmission(
                    root,
                    key.orElseGet(() -> UUID.randomUUID().toString()),
                    isIdempotent ? Repeatability.IDEMPOTENT : Repeatability.AT_MOST_ONCE,
                    List.of(spec),
                    now);
        } catch (MalformedException e) {
            return new SubmissionParseResult.Malformed(BAD_REQUEST, e.getMessage());
        }
    }

    private SubmissionParseResult createSubmission(
            JsonNode root, String key, Repeatability repeatability, List<TaskSpec> tasks, Instant now)
            throws MalformedException {
        String team = parseName(root, "team", "");
        String kind = parseName(root, "kind", "");
        if (key.isBlank() || key.length() > MAXIMUM_NAME_LENGTH) {
            throw new MalformedException("Idempotency-Key: must have 1 to " + MAXIMUM_NAME_LENGTH + " characters");
        }
        Optional<Urgency> urgency = parseUrgency(root);
        Duration deadline = parseDeadline(root);
        return new SubmissionParseResult.Accepted(new Submission(
                new SubmissionId(team, key),
                kind,
                urgency,
                repeatability,
                now.plus(deadline),
                computeDigest(kind, urgency, repeatability, tasks),
                tasks));
    }

    private JsonNode parseObject(byte[] body, Set<String> members) throws MalformedException {
        JsonNode root;
        try {
            root = mapper.readTree(body);
        } catch (JsonProcessingException e) {
            throw new MalformedException("not JSON: " + e.getOriginalMessage());
        } catch (java.io.IOException e) {
            throw new MalformedException("not JSON: " + e.getMessage());
        }
        if (root == null || !root.isObject()) {
            throw new MalformedException("the body must be a JSON object");
        }
        checkMembers(root, members, "");
        return root;
    }

    private static void checkMembers(JsonNode node, Set<String> members, String path) throws MalformedException {
        for (var names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!members.contains(name)) {
                throw new MalformedException(path + name + ": unknown member");
            }
        }
    }

    private TaskSpec parseTask(JsonNode task, String path) throws MalformedException {
        if (!task.isObject()) {
            throw new MalformedException(path + ": must be an object");
        }
        checkMembers(task, TASK_MEMBERS, path + ".");
        return new TaskSpec(parseName(task, "id", path + "."), parseEstimate(task, path + "."), parsePayload(task));
    }

    private static String parseName(JsonNode node, String member, String path) throws MalformedException {
        JsonNode value = node.path(member);
        boolean valid = value.isTextual()
                && !value.textValue().isBlank()
                && value.textValue().length() <= MAXIMUM_NAME_LENGTH
                && value.textValue().chars().noneMatch(Character::isISOControl);
        if (!valid) {
            throw new MalformedException(path + member + ": must be a string of 1 to " + MAXIMUM_NAME_LENGTH
                    + " characters, without control characters");
        }
        return value.textValue();
    }

    private static String parsePayload(JsonNode node) {
        JsonNode payload = node.path("payload");
        return payload.isMissingNode() ? "null" : payload.toString();
    }

    private Optional<Duration> parseEstimate(JsonNode node, String path) throws MalformedException {
        JsonNode value = node.path("estimateMilliseconds");
        if (value.isMissingNode()) {
            return Optional.empty();
        }
        boolean valid = value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= 0
                && value.longValue() <= bounds.maximumDeadlineMilliseconds();
        if (!valid) {
            throw new MalformedException(path + "estimateMilliseconds: must be an integer from 0 to "
                    + bounds.maximumDeadlineMilliseconds());
        }
        return Optional.of(Duration.ofMillis(value.longValue()));
    }

    private static Optional<Urgency> parseUrgency(JsonNode root) throws MalformedException {
        JsonNode value = root.path("urgency");
        if (value.isMissingNode()) {
            return Optional.empty();
        }
        for (Urgency urgency : Urgency.values()) {
            if (value.isTextual() && urgency.name().equals(value.textValue().toUpperCase(Locale.ROOT))) {
                return Optional.of(urgency);
            }
        }
        throw new MalformedException("urgency: must be urgent, normal or background");
    }

    private Duration parseDeadline(JsonNode root) throws MalformedException {
        JsonNode value = root.path("deadlineMilliseconds");
        boolean valid = value.isIntegralNumber()
                && value.canConvertToLong()
                && value.longValue() >= 1
                && value.longValue() <= bounds.maximumDeadlineMilliseconds();
        if (!valid) {
            throw new MalformedException(
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
        // Marks the end of the part, so that parts divided in another way give another digest.
        digest.update((byte) 0);
    }

    /** Thrown where the request is invalid; its message is the detail of the response. */
    private static final class MalformedException extends Exception {
        private static final long serialVersionUID = 1L;

        MalformedException(String message) {
            super(message, null, false, false);
        }
    }
}
