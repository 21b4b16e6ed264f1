package io.caperturn.core.schedule;

/**
 * Learned service times of one kind of task at each back end.
 *
 * <p>All means and variances are of logarithms, so that a few long tasks change them little. Two features are tracked:
 * the service time itself and its ratio to the declared estimate. Expected times and the speeds of back ends are
 * computed from the feature with the lower variance, so declared estimates are used only if they predict service times.
 */
final class ServiceTimeModel {
    /** Lower bound of service times and estimates, because logarithms need positive values. */
    private static final double MINIMUM_SECONDS = 1e-6;

    /** Number of standard deviations of the logarithm beyond which a service time is an outlier. */
    private static final double OUTLIER_DEVIATIONS = 2.5;

    /** Minimum weight of an outlier in a back end's mean, so that the mean follows a sudden slowdown. */
    private static final double OUTLIER_WEIGHT = 0.3;

    /** Number of observations from which on the outlier threshold is computed from the variance. */
    private static final int MINIMUM_OUTLIER_SAMPLES = 20;

    /** Outlier threshold, as a multiple of the expected time, while there are fewer observations. */
    private static final double UNLEARNED_OUTLIER_FACTOR = 12;

    /** Number of standard errors of a mean that are attributed to noise. */
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

    /** Records a service time, in seconds; {@code estimateSeconds} is the declared estimate, NaN if there is none. */
    void observe(BackendObservations backend, OverallSpeed overall, double estimateSeconds, double serviceSeconds) {
        boolean isOutlier = serviceSeconds > outlierSeconds(estimateSeconds) * Math.exp(logSlowness(backend, overall));
        double weight = isOutlier ? Math.max(policy.smoothing(), OUTLIER_WEIGHT) : policy.smoothing();
        double logarithm = Math.log(Math.max(MINIMUM_SECONDS, serviceSeconds));
        overall.observe(logarithm - Math.log(expectedMedianSeconds(estimateSeconds)), weight);
        serviceTimes.observe(backend.serviceTime, logarithm, weight);
        if (!Double.isNaN(estimateSeconds)) {
            double ratio = logarithm - Math.log(Math.max(MINIMUM_SECONDS, estimateSeconds));
            ratios.observe(backend.ratio, ratio, weight);
        }
    }

    /** Returns the number of observed service times at all back ends. */
    double samples() {
        return serviceTimes.all.count;
    }

    /**
     * Returns the logarithm of the ratio of service times at the back end to the mean of all back ends.
     *
     * <p>It is the sum of the back end's deviation over all kinds and of what tasks of this kind deviate beyond that.
     */
    double logSlowness(BackendObservations backend, OverallSpeed overall) {
        double sharedDeviation = overall.deviation();
        return sharedDeviation
                + (areEstimatesInformative()
                        ? ratios.deviation(backend.ratio, sharedDeviation)
                        : serviceTimes.deviation(backend.serviceTime, sharedDeviation));
    }

    /**
     * Returns the expected service time of a task at a back end of mean speed, in seconds.
     *
     * <p>Half the variance is added because the mean of a log-normal distribution exceeds its median.
     *
     * @param estimateSeconds the declared estimate, NaN if there is none
     */
    double expectedSeconds(double estimateSeconds) {
        boolean declared = !Double.isNaN(estimateSeconds);
        if (declared && areEstimatesInformative()) {
            return estimateSeconds * Math.exp(ratios.all.mean + ratios.variance / 2);
        }
        if (serviceTimes.all.count >= policy.priorSamples() && serviceTimes.all.count > 0) {
            return Math.exp(serviceTimes.all.mean + serviceTimes.variance / 2);
        }
        return declared ? estimateSeconds : TimeConversions.toSeconds(policy.defaultServiceTime());
    }

    /** Returns the median instead of the mean that {@link #expectedSeconds} returns. */
    private double expectedMedianSeconds(double estimateSeconds) {
        if (!Double.isNaN(estimateSeconds) && areEstimatesInformative()) {
            return estimateSeconds * Math.exp(ratios.all.mean);
        }
        return serviceTimes.all.count == 0 ? expectedSeconds(estimateSeconds) : Math.exp(serviceTimes.all.mean);
    }

    /** Returns the service time above which a task counts as an outlier at a back end of mean speed, in seconds. */
    double outlierSeconds(double estimateSeconds) {
        double variance =
                !Double.isNaN(estimateSeconds) && areEstimatesInformative() ? ratios.variance : serviceTimes.variance;
        if (serviceTimes.all.count < MINIMUM_OUTLIER_SAMPLES) {
            return expectedSeconds(estimateSeconds) * UNLEARNED_OUTLIER_FACTOR;
        }
        double spreadFactor = Math.exp(OUTLIER_DEVIATIONS * Math.sqrt(variance) - variance / 2);
        return expectedSeconds(estimateSeconds) * Math.max(policy.overdueFactor(), spreadFactor);
    }

    /** Returns whether enough ratios of service times to declared estimates are known and vary less than the times. */
    private boolean areEstimatesInformative() {
        return ratios.all.count > policy.priorSamples() && ratios.variance < serviceTimes.variance;
    }

    /** Moves a difference of means towards zero by the part that noise can explain. */
    private static double subtractNoise(double difference, double variance, double samples) {
        double noise = NOISE_DEVIATIONS * Math.sqrt(variance / samples);
        return Math.signum(difference) * Math.max(0, Math.abs(difference) - noise);
    }

    /** Speed of a back end over the tasks of all kinds, from the ratios of service times to their expected medians. */
    static final class OverallSpeed {
        private final SchedulerPolicy.SpeedPolicy policy;
        private final Mean sharedMean;
        private final Mean ratioToExpected = new Mean();
        private double variance;

        /** Creates the speed of a back end; its observations are also recorded in the mean shared by all back ends. */
        OverallSpeed(SchedulerPolicy.SpeedPolicy policy, Mean sharedMean) {
            this.policy = policy;
            this.sharedMean = sharedMean;
        }

        private void observe(double logarithmicRatio, double weight) {
            sharedMean.observe(logarithmicRatio, policy.smoothing());
            double difference = logarithmicRatio - ratioToExpected.mean;
            ratioToExpected.observe(logarithmicRatio, weight);
            variance += Math.max(policy.smoothing(), 1 / ratioToExpected.count) * (difference * difference - variance);
        }

        /** Returns the mean logarithmic ratio, less what noise explains; 0 while there are too few observations. */
        private double deviation() {
            if (ratioToExpected.count < policy.priorSamples()) {
                return 0;
            }
            return subtractNoise(
                    ratioToExpected.mean, variance, Math.min(ratioToExpected.count, 2 / policy.smoothing() - 1));
        }
    }

    /** Exponentially weighted mean of logarithms, a plain mean while there are few observations. */
    static final class Mean {
        private double mean;
        private double count;

        void observe(double value, double smoothing) {
            count++;
            mean += Math.max(smoothing, 1 / count) * (value - mean);
        }
    }

    /**
     * Mean and variance of one feature over all back ends.
     *
     * <p>A new observation has a tenth of the usual weight here.
     */
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
         * Returns by how much a back end's deviation from the mean of all back ends exceeds the expected one, less what
         * noise explains.
         */
        double deviation(Mean backend, double expected) {
            if (backend.count == 0) {
                return 0;
            }
            // An exponentially weighted mean is as accurate as a plain mean of (2 / smoothing - 1) samples.
            double effectiveSamples = Math.min(backend.count, 2 / policy.smoothing() - 1);
            return subtractNoise(backend.mean - all.mean - expected, variance, effectiveSamples);
        }
    }
}
