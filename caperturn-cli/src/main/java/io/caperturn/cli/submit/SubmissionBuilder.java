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

/** Builder of a submission from the options of {@code submit}. */
public final class SubmissionBuilder {
    private static final String JOBS = "/v1/jobs";
    private static final String REQUESTS = "/v1/requests";
    private static final String TASKS = "tasks";
    private static final String DEADLINE = "deadlineMilliseconds";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final SubmitCommand command;

    /**
     * Creates a builder.
     *
     * @param command the options
     */
    public SubmissionBuilder(SubmitCommand command) {
        this.command = command;
    }

    /**
     * Builds the submission; a key is drawn where none is given.
     *
     * @return the submission, or what is wrong with the file
     */
    public SubmissionResult build() {
        if (command.file().isEmpty()) {
            return complete(generated());
        }
        Path file = command.file().get();
        try {
            if (MAPPER.readTree(Files.readString(file)) instanceof ObjectNode body) {
                return complete(body);
            }
            return new SubmissionResult.Wrong(file + " is no JSON object");
        } catch (JsonProcessingException e) {
            return new SubmissionResult.Wrong(file + " is no JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            return new SubmissionResult.Wrong(
                    file + " can't be read: " + e.getClass().getSimpleName());
        }
    }

    private ObjectNode generated() {
        ObjectNode body = MAPPER.createObjectNode();
        if (command.request()) {
            addGeneratedWork(body);
            return body;
        }
        ArrayNode tasks = body.putArray(TASKS);
        for (int number = 1; number <= command.tasks(); number++) {
            addGeneratedWork(tasks.addObject().put("id", "task-" + number));
        }
        return body;
    }

    private void addGeneratedWork(ObjectNode task) {
        int runMilliseconds = command.runMilliseconds();
        if (runMilliseconds > 0) {
            task.put("estimateMilliseconds", runMilliseconds);
        }
        task.putObject("payload").put("runMilliseconds", runMilliseconds);
    }

    private SubmissionResult complete(ObjectNode body) {
        command.team().ifPresent(team -> body.put("team", team));
        command.kind().ifPresent(kind -> body.put("kind", kind));
        command.urgency().ifPresent(urgency -> body.put("urgency", urgency));
        command.deadlineMilliseconds().ifPresent(deadline -> body.put(DEADLINE, deadline));
        if (!body.has(DEADLINE)) {
            body.put(DEADLINE, command.defaultDeadlineMilliseconds());
        }
        if (command.nonIdempotent()) {
            body.put("idempotent", false);
        }
        if (!body.path("team").isTextual() || !body.path(DEADLINE).canConvertToInt()) {
            return new SubmissionResult.Wrong("the file needs a team and a whole number as " + DEADLINE);
        }
        JsonNode tasks = body.path(TASKS);
        Duration deadline = Duration.ofMillis(body.get(DEADLINE).asInt());
        return new SubmissionResult.Built(new Submission(
                command.request() ? REQUESTS : JOBS,
                body.get("team").asText(),
                command.key().orElseGet(() -> UUID.randomUUID().toString()),
                body.without(DEADLINE),
                command.request() ? 1 : tasks.size(),
                deadline));
    }
}
