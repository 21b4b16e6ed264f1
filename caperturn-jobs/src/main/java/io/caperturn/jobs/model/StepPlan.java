package io.caperturn.jobs.model;

import java.util.List;

/**
 * One step of a job: a number of like tasks.
 *
 * @param count number of tasks, at least 1
 * @param need room that each task takes
 * @param estimatedMilliseconds rough duration of a task on an average upstream, in milliseconds
 * @param after numbers of earlier steps that must have succeeded before
 * @param requiredLabel label that the upstream must have; empty if any will do
 * @param nearRack rack that holds the data; empty if there is none
 * @param maximumPerUpstream how many tasks may run on one upstream at the same time; 0 for no bound
 */
public record StepPlan(
        int count,
        Resources need,
        long estimatedMilliseconds,
        List<Integer> after,
        String requiredLabel,
        String nearRack,
        int maximumPerUpstream) {
    /**
     * Checks the count and copies the list.
     *
     * @throws IllegalArgumentException if the count is below 1
     */
    public StepPlan {
        if (count < 1) {
            throw new IllegalArgumentException("a step needs a task");
        }
        after = List.copyOf(after);
    }
}
