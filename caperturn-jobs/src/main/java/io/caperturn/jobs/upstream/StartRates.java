package io.caperturn.jobs.upstream;

import java.util.HashMap;
import java.util.Map;

/** Rates at which runs of each queue start on the upstream; starts at about the same moment count as one. */
final class StartRates {
    /** Time after which a start counts for about a third, in milliseconds. */
    private static final double MEMORY_MILLISECONDS = 5_000;
    /** Time within which starts count as one, in milliseconds: the tasks of a job start together. */
    private static final long SAME_MOMENT_MILLISECONDS = 5;
    /** Longest interval that reduces a rate, in milliseconds: longer ones may be outages. */
    private static final long MAX_INTERVAL_MILLISECONDS = 1_000;

    /** Shortest time of observation that a rate is computed from, in milliseconds. */
    private static final double MIN_OBSERVATION_MILLISECONDS = 500;

    private final Map<String, Rate> ratesByQueue = new HashMap<>();
    private long lastStartAt = Long.MIN_VALUE / 2;
    /** Time between starts of any queue, without outages, in milliseconds. */
    private double observedMilliseconds;

    private static final class Rate {
        /** Number of starts within the memory, weighted by age. */
        private double starts;

        private long lastStartAt = Long.MIN_VALUE / 2;
    }

    void recordStart(String queue, long now) {
        if (lastStartAt >= 0) {
            observedMilliseconds += Math.min(now - lastStartAt, MAX_INTERVAL_MILLISECONDS);
        }
        lastStartAt = now;
        Rate rate = ratesByQueue.computeIfAbsent(queue, key -> new Rate());
        long interval = now - rate.lastStartAt;
        if (interval >= SAME_MOMENT_MILLISECONDS) {
            double counted = Math.min(interval, MAX_INTERVAL_MILLISECONDS);
            rate.starts = rate.starts * Math.exp(-counted / MEMORY_MILLISECONDS) + 1;
            rate.lastStartAt = now;
        }
    }

    /** Returns the chance that a run of a queue starts within a time in milliseconds, if its starts are independent. */
    double chanceOfStartWithin(String queue, long milliseconds) {
        Rate rate = ratesByQueue.get(queue);
        if (rate == null) {
            return 1;
        }
        double remembered = MEMORY_MILLISECONDS * (1 - Math.exp(-observedMilliseconds / MEMORY_MILLISECONDS));
        return 1 - Math.exp(-(rate.starts + 1) * milliseconds / Math.max(MIN_OBSERVATION_MILLISECONDS, remembered));
    }
}
