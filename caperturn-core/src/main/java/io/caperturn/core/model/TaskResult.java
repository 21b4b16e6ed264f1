package io.caperturn.core.model;

import java.util.Objects;

/**
 * Result of one task in a complete answer.
 *
 * @param task the client's name for the task
 * @param result the upstream's response body, JSON text
 */
public record TaskResult(String task, String result) {
    /** Checks that no component is null. */
    public TaskResult {
        Objects.requireNonNull(task, "task");
        Objects.requireNonNull(result, "result");
    }
}
