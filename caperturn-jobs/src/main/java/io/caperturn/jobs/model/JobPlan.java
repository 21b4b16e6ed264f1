package io.caperturn.jobs.model;

import java.util.List;
import java.util.Objects;

/**
 * What a caller wants done.
 *
 * @param queue name of the queue that took the job
 * @param payload text that every task is handed
 * @param steps the steps, at least one
 * @param durable whether it is stored and outlives its entry; otherwise its caller waits, and asks again if need be
 */
public record JobPlan(String queue, String payload, List<StepPlan> steps, boolean durable) {
    /**
     * Checks that there is a step, and that steps wait for earlier ones only.
     *
     * @throws IllegalArgumentException if there is no step, or a step waits for itself or a later one
     */
    public JobPlan {
        Objects.requireNonNull(queue, "queue");
        Objects.requireNonNull(payload, "payload");
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a job needs a step");
        }
        for (int number = 0; number < steps.size(); number++) {
            for (int earlier : steps.get(number).after()) {
                if (earlier < 0 || earlier >= number) {
                    throw new IllegalArgumentException("step " + number + " waits for step " + earlier);
                }
            }
        }
    }

    /**
     * Counts the tasks of all steps.
     *
     * @return the number of tasks
     */
    public int taskCount() {
        return steps.stream().mapToInt(StepPlan::count).sum();
    }

    /**
     * Estimates the longest chain of tasks that have to run one after another.
     *
     * @return the duration in milliseconds, from the steps' estimates
     */
    public long criticalPathMilliseconds() {
        long[] ends = new long[steps.size()];
        long longest = 0;
        for (int number = 0; number < ends.length; number++) {
            StepPlan step = steps.get(number);
            long start = step.after().stream()
                    .mapToLong(earlier -> ends[earlier])
                    .max()
                    .orElse(0);
            ends[number] = start + step.estimatedMilliseconds();
            longest = Math.max(longest, ends[number]);
        }
        return longest;
    }
}
