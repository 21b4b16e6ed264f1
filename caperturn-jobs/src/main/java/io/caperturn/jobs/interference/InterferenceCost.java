package io.caperturn.jobs.interference;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Cost of placing a task beside tasks of other queues: the extra milliseconds expected for the task and for the runs
 * that it joins. It answers a load of queues that slow each other down while there is free capacity elsewhere.
 */
public final class InterferenceCost {
    private static final double HUNDREDTHS = 100;
    /** Weight of one run in the average expected duration of its queue. */
    private static final double DURATION_WEIGHT = 0.05;

    private final FleetSlowdowns slowdowns;
    /** Runs dispatched by this entry that have not ended, by incarnation of the sidecar and by queue. */
    private final Map<String, Map<String, Integer>> ownRuns = new HashMap<>();

    private final Map<String, Double> expectedMillisecondsByQueue = new HashMap<>();

    /**
     * Creates a cost without knowledge of any run.
     *
     * @param slowdowns the learned pairs
     */
    public InterferenceCost(FleetSlowdowns slowdowns) {
        this.slowdowns = slowdowns;
    }

    /**
     * Returns a copy with the same learned pairs, whose own runs can be changed without an effect on this cost.
     *
     * @return the copy
     */
    public InterferenceCost copy() {
        InterferenceCost copy = new InterferenceCost(slowdowns);
        ownRuns.forEach((incarnation, runs) -> copy.ownRuns.put(incarnation, new HashMap<>(runs)));
        copy.expectedMillisecondsByQueue.putAll(expectedMillisecondsByQueue);
        return copy;
    }

    /**
     * Returns whether any placement can have a cost.
     *
     * @return false if no pair is learned
     */
    public boolean isRelevant() {
        return !slowdowns.isEmpty();
    }

    /** Forgets all own runs, which are then counted anew. */
    public void clearRuns() {
        ownRuns.clear();
    }

    /**
     * Counts a run that this entry has dispatched and that has not ended.
     *
     * @param incarnation identifier of the start of its sidecar
     * @param queue name of its queue
     * @param expectedMilliseconds expected duration of the run
     */
    public void addRun(String incarnation, String queue, long expectedMilliseconds) {
        ownRuns.computeIfAbsent(incarnation, key -> new HashMap<>()).merge(queue, 1, Integer::sum);
        expectedMillisecondsByQueue.merge(
                queue, (double) expectedMilliseconds, (old, latest) -> old + DURATION_WEIGHT * (latest - old));
    }

    /**
     * Returns the expected extra time of a task and of the runs that it joins.
     *
     * @param queue name of the task's queue
     * @param expectedMilliseconds expected duration of the task, without interference
     * @param incarnation identifier of the start of the sidecar
     * @return the extra time in milliseconds
     */
    public double extraMilliseconds(String queue, long expectedMilliseconds, String incarnation) {
        if (slowdowns.isEmpty()) {
            return 0;
        }
        Map<String, Integer> own = ownRuns.getOrDefault(incarnation, Map.of());
        Map<String, Integer> told = slowdowns.levelHundredths(incarnation);
        Set<String> others = new HashSet<>(own.keySet());
        others.addAll(told.keySet());
        double sameQueueRuns = countRuns(queue, own, told);
        double extra = 0;
        for (String other : others) {
            if (!other.equals(queue)) {
                double runs = countRuns(other, own, told);
                double present = own.containsKey(other) ? 1 : -Math.expm1(-runs);
                extra += present * slowdowns.extraFraction(queue, other) * expectedMilliseconds;
                // On average, half of a run is left. Runs of the same queue slow the others down already.
                double remaining = expectedMillisecondsByQueue.getOrDefault(other, (double) expectedMilliseconds) / 2;
                extra += runs
                        * slowdowns.extraFraction(other, queue)
                        * Math.min(remaining, expectedMilliseconds)
                        / (1 + sameQueueRuns);
            }
        }
        return extra;
    }

    /**
     * Returns the known number of runs of a queue on an upstream: own ones or the average of all, if that is larger.
     */
    private static double countRuns(String queue, Map<String, Integer> own, Map<String, Integer> told) {
        return Math.max(own.getOrDefault(queue, 0), told.getOrDefault(queue, 0) / HUNDREDTHS);
    }
}
