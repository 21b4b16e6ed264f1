package io.caperturn.core.model;

import java.util.Objects;

/**
 * Identity of a task across all its attempts.
 *
 * @param submission the submission that the task belongs to
 * @param task the client's name for the task
 */
public record TaskKey(SubmissionId submission, String task) {
    /** Checks that no component is null. */
    public TaskKey {
        Objects.requireNonNull(submission, "submission");
        Objects.requireNonNull(task, "task");
    }

    @Override
    public String toString() {
        return submission + "/" + task;
    }
}
