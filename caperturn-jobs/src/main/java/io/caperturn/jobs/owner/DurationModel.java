package io.caperturn.jobs.owner;

import java.util.HashMap;
import java.util.Map;

/**
 * Model that predicts the duration of a run, an attempt of an upstream to run a task. It corrects the estimate in the
 * plan of the job, by a factor for each queue (set of jobs with one policy) and the relative speed of each upstream. It
 * learns both from successful runs.
 *
 * <p>The estimated duration of one run is off by tens of percent, so both values are smoothed over many runs.
 */
final class DurationModel {
    /** Weight of one run in the smoothed correction factor of a queue: about the last fifty runs matter. */
    private static final double CORRECTION_FACTOR_WEIGHT = 0.02;
    /**
     * Weight of one run in the smoothed speed of an upstream: about the last fifteen runs matter, so that a slowdown
     * has an effect soon.
     */
    private static final double SPEED_WEIGHT = 0.07;
    /** Minimum factor or speed derived from a single run, because a stalled run says little about the next one. */
    private static final double MIN_OBSERVED_RATIO = 0.1;

    /** Maximum factor or speed derived from a single run. */
    private static final double MAX_OBSERVED_RATIO = 10;

    private final Map<String, Double> correctionFactorByQueue = new HashMap<>();
    private final Map<String, Double> relativeSpeedByNode = new HashMap<>();

    /**
     * Updates the model with a successful run.
     *
     * @param queue name of the queue
     * @param node name of the instance on which the upstream runs
     * @param estimatedMilliseconds estimated duration on an average upstream, in milliseconds
     * @param runMilliseconds measured duration, in milliseconds
     */
    void recordRun(String queue, String node, long estimatedMilliseconds, long runMilliseconds) {
        if (estimatedMilliseconds <= 0 || runMilliseconds <= 0) {
            return;
        }
        double factor = correctionFactorByQueue.getOrDefault(queue, 1.0);
        double speed = relativeSpeedByNode.getOrDefault(node, 1.0);
        double observedSpeed = clamp(estimatedMilliseconds * factor / runMilliseconds);
        relativeSpeedByNode.merge(node, observedSpeed, (old, observed) -> old + SPEED_WEIGHT * (observed - old));
        double observedFactor = clamp(runMilliseconds * speed / estimatedMilliseconds);
        correctionFactorByQueue.merge(
                queue, observedFactor, (old, observed) -> old + CORRECTION_FACTOR_WEIGHT * (observed - old));
    }

    /** Returns the speed of the upstream on an instance; 1 is the speed that estimates assume. */
    double relativeSpeed(String node) {
        return relativeSpeedByNode.getOrDefault(node, 1.0);
    }

    /**
     * Predicts how long a task of a queue runs on an instance, in milliseconds; parameters as in {@link #recordRun}.
     */
    long predictMilliseconds(String queue, String node, long estimatedMilliseconds) {
        return Math.max(
                1,
                Math.round(estimatedMilliseconds
                        * correctionFactorByQueue.getOrDefault(queue, 1.0)
                        / relativeSpeed(node)));
    }

    private static double clamp(double value) {
        return Math.max(MIN_OBSERVED_RATIO, Math.min(MAX_OBSERVED_RATIO, value));
    }
}
