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
    /** Maximum number of tasks of a job, each of which its entry keeps in memory. */
    public static final int MAXIMUM_TASKS = 100_000;
    /** Maximum of each resource of a task; sums over all tasks of many jobs stay within 64 bits. */
    public static final long MAXIMUM_RESOURCE = 1_000_000_000;
    /** Maximum estimated duration of a task, in milliseconds: a year. */
    public static final long MAXIMUM_ESTIMATE_MILLISECONDS = 365L * 24 * 60 * 60 * 1_000;

    /**
     * Checks the numbers and copies the list.
     *
     * @throws IllegalArgumentException if a number is negative or too large, or there is no task
     */
    public StepPlan {
        requireWithin("the number of tasks of a step", taskCount, 1, MAXIMUM_TASKS);
        requireWithin("processorMillis", resourcesPerTask.processorMillis(), 0, MAXIMUM_RESOURCE);
        requireWithin("memoryMegabytes", resourcesPerTask.memoryMegabytes(), 0, MAXIMUM_RESOURCE);
        requireWithin("accelerators", resourcesPerTask.accelerators(), 0, MAXIMUM_RESOURCE);
        requireWithin("estimatedMilliseconds", estimatedMilliseconds, 0, MAXIMUM_ESTIMATE_MILLISECONDS);
        requireWithin("maximumPerUpstream", maximumPerUpstream, 0, Integer.MAX_VALUE);
        prerequisiteSteps = List.copyOf(prerequisiteSteps);
    }

    private static void requireWithin(String name, long value, long minimum, long maximum) {
        if (value < minimum || value > maximum) {
            throw new IllegalArgumentException(name + " must be from " + minimum + " to " + maximum + ", not " + value);
        }
    }
}
