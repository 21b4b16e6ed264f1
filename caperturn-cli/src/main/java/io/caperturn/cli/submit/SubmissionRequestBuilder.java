package io.caperturn.cli.submit;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.cli.command.SubmitCommand;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.UUID;

/** Builder of a {@link SubmissionRequest} from the options of {@code submit} and the file that they name. */
public final class SubmissionRequestBuilder {
    private static final String JOBS_PATH = "/v1/jobs";
    private static final String REQUESTS_PATH = "/v1/requests";
    private static final String TASKS_MEMBER = "tasks";
    private static final String DEADLINE_MEMBER = "deadlineMilliseconds";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final SubmitCommand command;

    /**
     * Creates a builder.
     *
     * @param command the options
     */
    public SubmissionRequestBuilder(SubmitCommand command) {
        this.command = command;
    }

    /**
     * Builds the submission, with a random key if the options give none.
     *
     * @return the submission, or why the file is invalid
     */
    public SubmissionBuildResult build() {
        if (command.file().isEmpty()) {
            return buildFrom(generateBody());
        }
        Path file = command.file().get();
        try {
            if (MAPPER.readTree(Files.readString(file)) instanceof ObjectNode body) {
                return buildFrom(body);
            }
            return new SubmissionBuildResult.Invalid(file + " is not a JSON object");
        } catch (JsonProcessingException e) {
            return new SubmissionBuildResult.Invalid(file + " is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            return new SubmissionBuildResult.Invalid(
                    file + " can't be read: " + e.getClass().getSimpleName());
        }
    }

    /** Creates a body whose tasks only ask the upstream to run for a time. */
    private ObjectNode generateBody() {
        ObjectNode body = MAPPER.createObjectNode();
        if (command.isRequest()) {
            addGeneratedPayload(body);
            return body;
        }
        ArrayNode tasks = body.putArray(TASKS_MEMBER);
        for (int number = 1; number <= command.tasks(); number++) {
            addGeneratedPayload(tasks.addObject().put("id", "task-" + number));
        }
        return body;
    }

    private void addGeneratedPayload(ObjectNode task) {
        int runMilliseconds = command.runMilliseconds();
        if (runMilliseconds > 0) {
            task.put("estimateMilliseconds", runMilliseconds);
        }
        task.putObject("payload").put("runMilliseconds", runMilliseconds);
    }

    /** Builds the submission from a body; options override the values of the body. */
    private SubmissionBuildResult buildFrom(ObjectNode body) {
        command.team().ifPresent(team -> body.put("team", team));
        command.kind().ifPresent(kind -> body.put("kind", kind));
        command.urgency().ifPresent(urgency -> body.put("urgency", urgency));
        command.deadlineMilliseconds().ifPresent(deadline -> body.put(DEADLINE_MEMBER, deadline));
        if (!body.has(DEADLINE_MEMBER)) {
            body.put(DEADLINE_MEMBER, command.defaultDeadlineMilliseconds());
        }
        if (command.isNonIdempotent()) {
            body.put("idempotent", false);
        }
        if (!body.path("team").isTextual() || !body.path(DEADLINE_MEMBER).canConvertToInt()) {
            return new SubmissionBuildResult.Invalid("the file needs a team and a whole number as " + DEADLINE_MEMBER);
        }
        JsonNode tasks = body.path(TASKS_MEMBER);
        Duration deadline = Duration.ofMillis(body.get(DEADLINE_MEMBER).asInt());
        return new SubmissionBuildResult.Built(new SubmissionRequest(
                command.isRequest() ? REQUESTS_PATH : JOBS_PATH,
                body.get("team").asText(),
                command.key().orElseGet(() -> UUID.randomUUID().toString()),
                body.without(DEADLINE_MEMBER),
                command.isRequest() ? 1 : tasks.size(),
                deadline));
    }
}
