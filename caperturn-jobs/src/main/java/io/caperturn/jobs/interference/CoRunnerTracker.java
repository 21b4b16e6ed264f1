package io.caperturn.jobs.interference;

import io.caperturn.jobs.model.RunIdentity;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Tracker of which queues have active runs on an upstream; tells for each finished run during which share of its time
 * each other queue had one.
 *
 * <p>A fixed number of queues is tracked. A queue that has been idle for long makes room for another one.
 */
final class CoRunnerTracker {
    /** Maximum number of tracked queues. */
    static final int MAX_QUEUES = 16;
    /** Idle time after which a queue makes room for another one, in milliseconds. */
    private static final long MAX_IDLE_MILLISECONDS = 60_000;
    /** Time over which the level of a queue is averaged, in milliseconds. */
    private static final double LEVEL_MILLISECONDS = 2_000;

    private final String[] queues = new String[MAX_QUEUES];
    private final int[] activeRuns = new int[MAX_QUEUES];
    private final long[] lastActiveAt = new long[MAX_QUEUES];
    /** Total time during which each queue had an active run, in milliseconds. */
    private final long[] presentMilliseconds = new long[MAX_QUEUES];
    /** Exponentially averaged number of active runs of each queue. */
    private final double[] levels = new double[MAX_QUEUES];

    private final Map<RunIdentity, ActiveRun> runs = new HashMap<>();
    private long advancedTo;

    private record ActiveRun(int queueIndex, long expectedMilliseconds, long startedAt, long[] presentAtStart) {}

    /**
     * Measurement of one finished run.
     *
     * @param queue queue of the run
     * @param expectedMilliseconds expected duration of the run
     * @param runMilliseconds duration of the run
     * @param shares fraction of the run's time during which each other queue had an active run, if above 0
     */
    record FinishedRun(String queue, long expectedMilliseconds, long runMilliseconds, Map<String, Double> shares) {}

    /** Records the start of a run at a time in milliseconds; ignores it if too many queues are active. */
    void start(RunIdentity run, String queue, long expectedMilliseconds, long now) {
        advance(now);
        int index = indexOf(queue, now);
        if (index >= 0 && !runs.containsKey(run)) {
            runs.put(run, new ActiveRun(index, expectedMilliseconds, now, presentMilliseconds.clone()));
            activeRuns[index]++;
            lastActiveAt[index] = now;
        }
    }

    /** Records the end of a run at a time in milliseconds; returns its measurement if its start was recorded. */
    Optional<FinishedRun> finish(RunIdentity identity, long now) {
        advance(now);
        ActiveRun run = runs.remove(identity);
        if (run == null) {
            return Optional.empty();
        }
        activeRuns[run.queueIndex()]--;
        lastActiveAt[run.queueIndex()] = now;
        long runMilliseconds = now - run.startedAt();
        Map<String, Double> shares = new TreeMap<>();
        for (int index = 0; index < MAX_QUEUES; index++) {
            long present = presentMilliseconds[index] - run.presentAtStart()[index];
            if (index != run.queueIndex() && present > 0) {
                shares.put(queues[index], (double) present / runMilliseconds);
            }
        }
        return Optional.of(
                new FinishedRun(queues[run.queueIndex()], run.expectedMilliseconds(), runMilliseconds, shares));
    }

    /** Removes runs that have ended without notice, which are all but the given ones. */
    void retain(Collection<RunIdentity> active, long now) {
        advance(now);
        for (RunIdentity run : runs.keySet().toArray(RunIdentity[]::new)) {
            if (!active.contains(run)) {
                finish(run, now);
            }
        }
    }

    /** Returns the average number of active runs of each queue in the last seconds. */
    Map<String, Double> levels(long now) {
        advance(now);
        Map<String, Double> levelByQueue = new TreeMap<>();
        for (int index = 0; index < MAX_QUEUES; index++) {
            if (queues[index] != null) {
                levelByQueue.put(queues[index], levels[index]);
            }
        }
        return levelByQueue;
    }

    private void advance(long now) {
        long elapsed = now - advancedTo;
        advancedTo = now;
        if (elapsed <= 0) {
            return;
        }
        double kept = Math.exp(-elapsed / LEVEL_MILLISECONDS);
        for (int index = 0; index < MAX_QUEUES; index++) {
            levels[index] = activeRuns[index] + kept * (levels[index] - activeRuns[index]);
            if (activeRuns[index] > 0) {
                presentMilliseconds[index] += elapsed;
            }
        }
    }

    /** Returns the index of a queue; -1 if there is no room for it. */
    private int indexOf(String queue, long now) {
        int known = Arrays.asList(queues).indexOf(queue);
        if (known >= 0) {
            return known;
        }
        for (int index = 0; index < MAX_QUEUES; index++) {
            boolean idle = activeRuns[index] == 0 && now - lastActiveAt[index] > MAX_IDLE_MILLISECONDS;
            if (queues[index] == null || idle) {
                queues[index] = queue;
                levels[index] = 0;
                return index;
            }
        }
        return -1;
    }
}
