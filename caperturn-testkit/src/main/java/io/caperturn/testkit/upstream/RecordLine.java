package io.caperturn.testkit.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.caperturn.testkit.http.Json;
import java.util.Objects;

/**
 * Line of an upstream's record.
 *
 * @param event what happened
 * @param time when, in milliseconds since the epoch
 * @param upstream the upstream's name
 * @param submission {@code team/key}
 * @param task the task's id
 * @param attempt {@code fence.attempt}
 * @param kind the kind of work
 * @param detail how a task ended or which bound was passed, empty for starts
 */
public record RecordLine(
        Event event,
        long time,
        String upstream,
        String submission,
        String task,
        String attempt,
        String kind,
        String detail) {
    /** What a line tells. */
    public enum Event {
        /** A task started. */
        START,
        /** A task ended. */
        END,
        /** A bound of the upstream was passed. */
        VIOLATION
    }

    /** Checks what must be present. */
    public RecordLine {
        Objects.requireNonNull(event, "event");
        Objects.requireNonNull(upstream, "upstream");
    }

    /**
     * Reads a line.
     *
     * @param text the line
     * @return what it says
     * @throws IllegalArgumentException if it is no line of a record
     */
    public static RecordLine parse(String text) {
        JsonNode node = Json.parse(text);
        return new RecordLine(
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
     * Returns the line's text.
     *
     * @return one line of JSON without its end
     */
    public String toJson() {
        return Json.of(this).toString();
    }
}
