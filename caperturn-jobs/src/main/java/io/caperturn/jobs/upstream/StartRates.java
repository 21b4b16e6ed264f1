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

    private final Map<String, Rate> ratesByQueue = new HashMap<>();

    private static final class Rate {
        /** Number of starts within the memory, weighted by age. */
        private double starts;

        private long lastStartAt = Long.MIN_VALUE / 2;
    }

    void recordStart(String queue, long now) {
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
        return rate == null ? 1 : 1 - Math.exp(-(rate.starts + 1) * milliseconds / MEMORY_MILLISECONDS);
    }
}
