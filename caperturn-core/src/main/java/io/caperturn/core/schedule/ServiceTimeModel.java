package io.caperturn.core.schedule;

/**
 * Learned service times of one kind of task at each back end.
 *
 * <p>The means are of logarithms, so that a few long tasks change them little. Two features are tracked: the service
 * time itself and its ratio to the declared estimate. The speeds of back ends follow from the feature with the lower
 * variance, so declared estimates are used only if they predict service times.
 */
final class ServiceTimeModel {
    /** Lower bound of service times and estimates, because logarithms need positive values. */
    private static final double MINIMUM_SECONDS = 1e-6;

    /** Standard deviations of the logarithm beyond which a service time is an outlier. */
    private static final double OUTLIER_DEVIATIONS = 2.5;

    /** Least weight of an outlier in a back end's mean, so that the mean follows a sudden slowdown. */
    private static final double OUTLIER_WEIGHT = 0.3;

    /** Observations needed before the outlier threshold follows from the variance. */
    private static final int MINIMUM_OUTLIER_SAMPLES = 20;

    /** Multiple of the expected time that is the outlier threshold until then. */
    private static final double UNLEARNED_OUTLIER_FACTOR = 12;

    /** Standard errors of a mean that are attributed to noise. */
    private static final double NOISE_DEVIATIONS = 2;

    private final SchedulerPolicy.SpeedPolicy policy;
    private final Feature serviceTimes = new Feature();
    private final Feature ratios = new Feature();

    ServiceTimeModel(SchedulerPolicy.SpeedPolicy policy) {
        this.policy = policy;
    }

    /** Means of both features at one back end. */
    static final class BackendObservations {
        private final Mean serviceTime = new Mean();
        private final Mean ratio = new Mean();

        double samples() {
            return serviceTime.count;
        }
    }

    /** Records a service time, in seconds; the estimate is NaN if none was declared. */
    void observe(BackendObservations backend, OverallSpeed overall, double estimateSeconds, double serviceSeconds) {
        boolean isOutlier = serviceSeconds > outlierSeconds(estimateSeconds) * Math.exp(slowness(backend, overall));
        double weight = isOutlier ? Math.max(policy.smoothing(), OUTLIER_WEIGHT) : policy.smoothing();
        double logarithm = Math.log(Math.max(MINIMUM_SECONDS, serviceSeconds));
        overall.observe(logarithm - Math.log(expectedMedianSeconds(estimateSeconds)), weight);
        serviceTimes.observe(backend.serviceTime, logarithm, weight);
        if (!Double.isNaN(estimateSeconds)) {
            double ratio = logarithm - Math.log(Math.max(MINIMUM_SECONDS, estimateSeconds));
            ratios.observe(backend.ratio, ratio, weight);
        }
    }

    double samples() {
        return serviceTimes.all.count;
    }

    /**
     * Returns the logarithm of the ratio of service times at the back end to the mean of all back ends.
     *
     * <p>The back end's deviation over all kinds applies, corrected by the deviation that tasks of this kind show
     * beyond it.
     */
    double slowness(BackendObservations backend, OverallSpeed overall) {
        double shared = overall.deviation();
        return shared
                + (estimatesAreInformative()
                        ? ratios.deviation(backend.ratio, shared)
                        : serviceTimes.deviation(backend.serviceTime, shared));
    }

    /** Returns the expected service time of a task at a back end of mean speed, in seconds. */
    double expectedSeconds(double estimateSeconds) {
        boolean declared = !Double.isNaN(estimateSeconds);
        if (declared && estimatesAreInformative()) {
            return estimateSeconds * Math.exp(ratios.all.mean + ratios.variance / 2);
        }
        if (serviceTimes.all.count >= policy.priorSamples() && serviceTimes.all.count > 0) {
            return Math.exp(serviceTimes.all.mean + serviceTimes.variance / 2);
        }
        return declared ? estimateSeconds : TimeConversions.toSeconds(policy.defaultServiceTime());
    }

    private double expectedMedianSeconds(double estimateSeconds) {
        if (!Double.isNaN(estimateSeconds) && estimatesAreInformative()) {
            return estimateSeconds * Math.exp(ratios.all.mean);
        }
        return serviceTimes.all.count == 0 ? expectedSeconds(estimateSeconds) : Math.exp(serviceTimes.all.mean);
    }

    /** Returns the service time above which a task counts as an outlier at a back end of mean speed, in seconds. */
    double outlierSeconds(double estimateSeconds) {
        double variance =
                !Double.isNaN(estimateSeconds) && estimatesAreInformative() ? ratios.variance : serviceTimes.variance;
        if (serviceTimes.all.count < MINIMUM_OUTLIER_SAMPLES) {
            return expectedSeconds(estimateSeconds) * UNLEARNED_OUTLIER_FACTOR;
        }
        double spread = Math.exp(OUTLIER_DEVIATIONS * Math.sqrt(variance) - variance / 2);
        return expectedSeconds(estimateSeconds) * Math.max(policy.overdueFactor(), spread);
    }

    private boolean estimatesAreInformative() {
        return ratios.all.count > policy.priorSamples() && ratios.variance < serviceTimes.variance;
    }

    private static double subtractNoise(double difference, double variance, double samples) {
        double noise = NOISE_DEVIATIONS * Math.sqrt(variance / samples);
        return Math.signum(difference) * Math.max(0, Math.abs(difference) - noise);
    }

    /** Speed of a back end over the tasks of all kinds. */
    static final class OverallSpeed {
        private final SchedulerPolicy.SpeedPolicy policy;
        private final Mean sharedMean;
        private final Mean residual = new Mean();
        private double variance;

        /**
         * Creates the speed of a back end; the mean is shared by all back ends and is the one they are compared with.
         */
        OverallSpeed(SchedulerPolicy.SpeedPolicy policy, Mean sharedMean) {
            this.policy = policy;
            this.sharedMean = sharedMean;
        }

        private void observe(double logarithm, double weight) {
            sharedMean.observe(logarithm, policy.smoothing());
            double difference = logarithm - residual.mean;
            residual.observe(logarithm, weight);
            variance += Math.max(policy.smoothing(), 1 / residual.count) * (difference * difference - variance);
        }

        private double deviation() {
            if (residual.count < policy.priorSamples()) {
                return 0;
            }
            return subtractNoise(residual.mean, variance, Math.min(residual.count, 2 / policy.smoothing() - 1));
        }
    }

    /** Exponentially weighted mean of logarithms. */
    static final class Mean {
        private double mean;
        private double count;

        void observe(double value, double smoothing) {
            count++;
            mean += Math.max(smoothing, 1 / count) * (value - mean);
        }
    }

    /** Mean and variance of one feature over all back ends. */
    private final class Feature {
        private final Mean all = new Mean();
        private double variance;

        void observe(Mean backend, double value, double weight) {
            double residual = backend.count == 0 ? value - all.mean : value - backend.mean;
            boolean first = all.count == 0;
            all.observe(value, policy.smoothing() / 10);
            backend.observe(value, weight);
            if (!first) {
                variance += Math.max(policy.smoothing() / 10, 1 / all.count) * (residual * residual - variance);
            }
        }

        /**
         * Returns by how much the back end's deviation from the mean exceeds the expected one, less what noise
         * explains.
         */
        double deviation(Mean backend, double expected) {
            if (backend.count == 0) {
                return 0;
            }
            double effective = Math.min(backend.count, 2 / policy.smoothing() - 1);
            return subtractNoise(backend.mean - all.mean - expected, variance, effective);
        }
    }
}
