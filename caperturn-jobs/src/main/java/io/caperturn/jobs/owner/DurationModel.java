package io.caperturn.jobs.owner;

import java.util.HashMap;
import java.util.Map;

/**
 * Model of run durations, learned from completed runs: how far the estimates of each queue are off, and how fast each
 * upstream is.
 *
 * <p>The estimate of a single job is off by tens of percent, so both values are smoothed over many runs.
 */
final class DurationModel {
    /** Weight of one run in the smoothed correction factor of a queue: about the last fifty runs count. */
    private static final double QUEUE_WEIGHT = 0.02;
    /**
     * Weight of one run in the smoothed speed of an upstream: about the last fifteen runs count, so that a slowdown
     * shows soon.
     */
    private static final double SPEED_WEIGHT = 0.07;
    /** Minimum factor or speed taken from a single run: a stalled run says little about the next one. */
    private static final double MIN_OBSERVED_RATIO = 0.1;

    private static final double MAX_OBSERVED_RATIO = 10;

    private final Map<String, Double> queueFactors = new HashMap<>();
    private final Map<String, Double> speeds = new HashMap<>();

    /** Updates the model with a run that succeeded; both durations are in milliseconds. */
    void recordRun(String queue, String node, long estimatedMilliseconds, long runMilliseconds) {
        if (estimatedMilliseconds <= 0 || runMilliseconds <= 0) {
            return;
        }
        double factor = queueFactors.getOrDefault(queue, 1.0);
        double speed = speeds.getOrDefault(node, 1.0);
        double observedSpeed = clamp(estimatedMilliseconds * factor / runMilliseconds);
        speeds.merge(node, observedSpeed, (old, observed) -> old + SPEED_WEIGHT * (observed - old));
        double observedFactor = clamp(runMilliseconds * speed / estimatedMilliseconds);
        queueFactors.merge(queue, observedFactor, (old, observed) -> old + QUEUE_WEIGHT * (observed - old));
    }

    /** Returns the speed of the upstream on an instance; 1 is the speed for which estimates are made. */
    double speed(String node) {
        return speeds.getOrDefault(node, 1.0);
    }

    /** Predicts the duration of a run, in milliseconds. */
    long predict(String queue, String node, long estimatedMilliseconds) {
        return Math.max(1, Math.round(estimatedMilliseconds * queueFactors.getOrDefault(queue, 1.0) / speed(node)));
    }

    private static double clamp(double value) {
        return Math.max(MIN_OBSERVED_RATIO, Math.min(MAX_OBSERVED_RATIO, value));
    }
}
