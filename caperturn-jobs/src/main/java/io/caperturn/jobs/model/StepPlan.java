package io.caperturn.jobs.model;

import java.util.List;

/**
 * One step of a job: a number of identical tasks.
 *
 * @param taskCount number of tasks, at least 1
 * @param resourcesPerTask resources that each task needs
 * @param estimatedMilliseconds estimated duration of a task on an average upstream, in milliseconds
 * @param prerequisiteSteps numbers of the earlier steps that must have succeeded before this one starts
 * @param requiredLabel label that the upstream must have; empty for no requirement
 * @param preferredRack rack that holds the data of the tasks; empty for no preference
 * @param maximumPerUpstream maximum number of tasks that may run on one upstream at the same time; 0 for no limit
 */
public record StepPlan(
        int taskCount,
        Resources resourcesPerTask,
        long estimatedMilliseconds,
        List<Integer> prerequisiteSteps,
        String requiredLabel,
        String preferredRack,
        int maximumPerUpstream) {
    /**
     * Checks the number of tasks and copies the list.
     *
     * @throws IllegalArgumentException if the task count is below 1
     */
    public StepPlan {
        if (taskCount < 1) {
            throw new IllegalArgumentException("a step must have at least one task");
        }
        prerequisiteSteps = List.copyOf(prerequisiteSteps);
    }
}
