package io.caperturn.jobs.model;

import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * Work that a caller submits as one job: steps, each of which consists of identical tasks that upstreams run.
 *
 * @param queue name of the queue to which the job was submitted
 * @param payload text passed to every task
 * @param steps the steps, at least one
 * @param durable whether the job is stored and so outlives its entry (the process that accepted it); otherwise its
 *     caller waits for the result and submits the job again if the entry fails
 */
public record JobPlan(String queue, String payload, List<StepPlan> steps, boolean durable) {
    /**
     * Checks that there is at least one step, that there are not too many tasks, and that each step depends only on
     * earlier ones.
     *
     * @throws IllegalArgumentException if there is no step, there are too many tasks, or a step depends on itself or on
     *     a later one
     */
    public JobPlan {
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(payload, "payload");
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a job must have at least one step");
        }
        long tasks = steps.stream().mapToLong(StepPlan::taskCount).sum();
        if (tasks > StepPlan.MAXIMUM_TASKS) {
            throw new IllegalArgumentException("a job must not have " + tasks + " tasks");
        }
        for (int number = 0; number < steps.size(); number++) {
            for (int earlier : steps.get(number).prerequisiteSteps()) {
                if (earlier < 0 || earlier >= number) {
                    throw new IllegalArgumentException("step " + number + " must not depend on step " + earlier);
                }
            }
        }
    }

    /**
     * Returns the number of tasks of all steps.
     *
     * @return the number of tasks
     */
    public int taskCount() {
        return steps.stream().mapToInt(StepPlan::taskCount).sum();
    }

    /**
     * Returns the number of a task, counted over all steps.
     *
     * @param task identity of the task; that of the job is not compared
     * @return the number, from 0; empty if the plan has no such task
     */
    public OptionalInt taskNumber(TaskIdentity task) {
        boolean exists = task.repetition() == 0
                && task.step() >= 0
                && task.step() < steps.size()
                && task.index() >= 0
                && task.index() < steps.get(task.step()).taskCount();
        return exists
                ? OptionalInt.of(task.index()
                        + steps.subList(0, task.step()).stream()
                                .mapToInt(StepPlan::taskCount)
                                .sum())
                : OptionalInt.empty();
    }

    /**
     * Returns the estimated duration of the critical path: the longest chain of steps that depend on one another.
     *
     * @return the duration in milliseconds, from the steps' estimates
     */
    public long criticalPathMilliseconds() {
        long[] finishMilliseconds = new long[steps.size()];
        long criticalPath = 0;
        for (int number = 0; number < finishMilliseconds.length; number++) {
            StepPlan step = steps.get(number);
            long startMilliseconds = step.prerequisiteSteps().stream()
                    .mapToLong(earlier -> finishMilliseconds[earlier])
                    .max()
                    .orElse(0);
            finishMilliseconds[number] = startMilliseconds + step.estimatedMilliseconds();
            criticalPath = Math.max(criticalPath, finishMilliseconds[number]);
        }
        return criticalPath;
    }
}
