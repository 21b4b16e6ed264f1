package io.caperturn.jobs.model;

import java.util.Objects;

/**
 * Identity of one run of a task; a run is one attempt to execute the task on an upstream.
 *
 * @param task the task
 * @param number number of the run; a later run of the same task has a higher number
 */
public record RunIdentity(TaskIdentity task, int number) {
    /**
     * Checks the task.
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
