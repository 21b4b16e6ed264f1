package io.caperturn.jobs.model;

import java.util.Objects;

/**
 * Identity of one start of a task.
 *
 * @param task the task
 * @param number number of the start; a later start of the same task has a higher number
 */
public record RunIdentity(TaskIdentity task, int number) {
    /**
     * Checks that there is a task.
     *
     * @throws NullPointerException if the task is null
     */
    public RunIdentity {
        Objects.requireNonNull(task, "task");
    }

    @Override
    public String toString() {
        return task + "#" + number;
    }
}
