package io.caperturn.jobs.owner;

import java.util.HashMap;
import java.util.Map;

/**
 * Learned durations: how far estimates of a queue are off, and how fast each upstream is.
 *
 * <p>An estimate is off by tens of percent for a single job, so both are smoothed over many ends.
 */
final class DurationModel {
    /** Weight of one end in a queue's factor: about the last fifty count. */
    private static final double QUEUE_WEIGHT = 0.02;
    /** Weight of one end in an upstream's speed: about the last fifteen count, so that a slow spell shows soon. */
    private static final double SPEED_WEIGHT = 0.07;
    /** Bounds of a single observation: one stalled run says little about the next. */
    private static final double LEAST = 0.1;

    private static final double MOST = 10;

    private final Map<String, Double> queueFactors = new HashMap<>();
    private final Map<String, Double> speeds = new HashMap<>();

    /** Learns from a run that succeeded. */
    void ended(String queue, String node, long estimated, long ran) {
        if (estimated <= 0 || ran <= 0) {
            return;
        }
        double factor = queueFactors.getOrDefault(queue, 1.0);
        double speed = speeds.getOrDefault(node, 1.0);
        double seenSpeed = clamp(estimated * factor / ran);
        speeds.merge(node, seenSpeed, (old, seen) -> old + SPEED_WEIGHT * (seen - old));
        double seenFactor = clamp(ran * speed / estimated);
        queueFactors.merge(queue, seenFactor, (old, seen) -> old + QUEUE_WEIGHT * (seen - old));
    }

    double speed(String node) {
        return speeds.getOrDefault(node, 1.0);
    }

    /** Predicts a run in milliseconds. */
    long predict(String queue, String node, long estimated) {
        return Math.max(1, Math.round(estimated * queueFactors.getOrDefault(queue, 1.0) / speed(node)));
    }

    private static double clamp(double value) {
        return Math.max(LEAST, Math.min(MOST, value));
    }
}
