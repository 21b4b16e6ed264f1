package io.caperturn.testkit.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.caperturn.testkit.http.TestkitJson;
import java.util.Objects;

/**
 * Line of the execution record, in which a stand-in upstream notes each start and end of a task.
 *
 * <p>Stored as JSON under the names of the components.
 *
 * @param event the event
 * @param time the time of the event, in milliseconds since the epoch
 * @param upstream the upstream's name
 * @param submission the job or request of the task, as {@code team/key}
 * @param task the task's id
 * @param attempt the attempt, as {@code fence.attempt}: its fencing token and its number
 * @param kind the kind of work
 * @param detail for an end its reason, for a violation the exceeded limit and the actual count; empty for a start
 */
public record ExecutionRecordLine(
        Event event,
        long time,
        String upstream,
        String submission,
        String task,
        String attempt,
        String kind,
        String detail) {
    /** Event that a line records. */
    public enum Event {
        /** A task started. */
        START,
        /** A task ended. */
        END,
        /** A task started beyond the maximum number of tasks or connections of the upstream. */
        VIOLATION
    }

    /** Checks that event and upstream are present. */
    public ExecutionRecordLine {
        Objects.requireNonNull(event, "event");
        Objects.requireNonNull(upstream, "upstream");
    }

    /**
     * Parses a line.
     *
     * @param text the line as JSON
     * @return the line
     * @throws IllegalArgumentException if the text is not valid JSON or names an unknown event
     */
    public static ExecutionRecordLine parse(String text) {
        JsonNode node = TestkitJson.parse(text);
        return new ExecutionRecordLine(
                Event.valueOf(node.path("event").asText()),
                node.path("time").asLong(),
                node.path("upstream").asText(),
                node.path("submission").asText(),
                node.path("task").asText(),
                node.path("attempt").asText(),
                node.path("kind").asText(),
                node.path("detail").asText());
    }

    /**
     * Returns the line as JSON.
     *
     * @return one line of JSON without a line break
     */
    public String toJson() {
        return TestkitJson.of(this).toString();
    }
}
