package io.caperturn.core.schedule;

/**
 * Learned service times of one kind of task at each back end (a sidecar process with its upstream).
 *
 * <p>All means and variances are of logarithms, so that a few long tasks change them little. Two features are learned:
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

    /** Minimum number of observations for an outlier threshold that is computed from the variance. */
    private static final int MINIMUM_OUTLIER_SAMPLES = 20;

    /**
     * Multiple of the expected time that is the outlier threshold below {@link #MINIMUM_OUTLIER_SAMPLES} observations.
     */
    private static final double UNLEARNED_OUTLIER_FACTOR = 12;

    /** Deviation of a mean, in standard errors, that is attributed to noise. */
    private static final double NOISE_DEVIATIONS = 2;

    private final SchedulerPolicy.SpeedPolicy policy;
    private final Feature serviceTimes = new Feature();
    private final Feature ratios = new Feature();

    ServiceTimeModel(SchedulerPolicy.SpeedPolicy policy) {
        this.policy = policy;
    }

    /** Learned means of both features at one back end. */
    static final class BackendObservations {
        private final Mean serviceTime = new Mean();
        private final Mean ratio = new Mean();

        double sampleCount() {
            return serviceTime.count;
        }
    }

    /**
     * Records a service time at a back end.
     *
     * @param backend the observations of this kind at the back end
     * @param overall the speed of the back end over all kinds
     * @param estimateSeconds the declared estimate, NaN if there is none
     * @param serviceSeconds the service time
     */
    void observe(BackendObservations backend, OverallSpeed overall, double estimateSeconds, double serviceSeconds) {
        boolean isOutlier = serviceSeconds > outlierSeconds(estimateSeconds) * Math.exp(logSlowness(backend, overall));
        double weight = isOutlier ? Math.max(policy.smoothing(), OUTLIER_WEIGHT) : policy.smoothing();
        double logServiceTime = Math.log(Math.max(MINIMUM_SECONDS, serviceSeconds));
        overall.observe(logServiceTime - Math.log(expectedMedianSeconds(estimateSeconds)), weight);
        serviceTimes.observe(backend.serviceTime, logServiceTime, weight);
        if (!Double.isNaN(estimateSeconds)) {
            double logRatio = logServiceTime - Math.log(Math.max(MINIMUM_SECONDS, estimateSeconds));
            ratios.observe(backend.ratio, logRatio, weight);
        }
    }

    /** Returns the number of observed service times at all back ends. */
    double sampleCount() {
        return serviceTimes.allBackends.count;
    }

    /**
     * Returns the logarithm of the ratio of service times at a back end to the mean of all back ends.
     *
     * <p>This is the sum of the back end's deviation over all kinds and the further deviation for this kind.
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
     * <p>Half the variance is added to the mean logarithm because the mean of a log-normal distribution exceeds its
     * median.
     *
     * @param estimateSeconds the declared estimate, NaN if there is none
     */
    double expectedSeconds(double estimateSeconds) {
        boolean declared = !Double.isNaN(estimateSeconds);
        if (declared && areEstimatesInformative()) {
            return estimateSeconds * Math.exp(ratios.allBackends.mean + ratios.variance / 2);
        }
        if (serviceTimes.allBackends.count >= policy.minimumSamples() && serviceTimes.allBackends.count > 0) {
            return Math.exp(serviceTimes.allBackends.mean + serviceTimes.variance / 2);
        }
        return declared ? estimateSeconds : TimeConversions.toSeconds(policy.defaultServiceTime());
    }

    /** Returns the median service time in seconds, where {@link #expectedSeconds} returns the mean. */
    private double expectedMedianSeconds(double estimateSeconds) {
        if (!Double.isNaN(estimateSeconds) && areEstimatesInformative()) {
            return estimateSeconds * Math.exp(ratios.allBackends.mean);
        }
        return serviceTimes.allBackends.count == 0
                ? expectedSeconds(estimateSeconds)
                : Math.exp(serviceTimes.allBackends.mean);
    }

    /** Returns the service time in seconds above which a task at a back end of mean speed is an outlier. */
    double outlierSeconds(double estimateSeconds) {
        double variance =
                !Double.isNaN(estimateSeconds) && areEstimatesInformative() ? ratios.variance : serviceTimes.variance;
        if (serviceTimes.allBackends.count < MINIMUM_OUTLIER_SAMPLES) {
            return expectedSeconds(estimateSeconds) * UNLEARNED_OUTLIER_FACTOR;
        }
        // The logarithm of the expected time exceeds that of the median by half the variance.
        double spreadFactor = Math.exp(OUTLIER_DEVIATIONS * Math.sqrt(variance) - variance / 2);
        return expectedSeconds(estimateSeconds) * Math.max(policy.overdueFactor(), spreadFactor);
    }

    /**
     * Returns whether enough ratios of service times to declared estimates are known and vary less than service times.
     */
    private boolean areEstimatesInformative() {
        return ratios.allBackends.count > policy.minimumSamples() && ratios.variance < serviceTimes.variance;
    }

    /** Reduces the absolute value of a difference of means by the part that noise can explain, at most to zero. */
    private static double subtractNoise(double difference, double variance, double samples) {
        double noise = NOISE_DEVIATIONS * Math.sqrt(variance / samples);
        return Math.signum(difference) * Math.max(0, Math.abs(difference) - noise);
    }

    /**
     * Speed of a back end over all kinds of task, learned from the ratios of service times to their expected medians.
     */
    static final class OverallSpeed {
        private final SchedulerPolicy.SpeedPolicy policy;
        private final Mean sharedMean;
        private final Mean ratioToExpected = new Mean();
        private double variance;

        /** Creates the speed of a back end; its observations are also recorded in {@code sharedMean}. */
        OverallSpeed(SchedulerPolicy.SpeedPolicy policy, Mean sharedMean) {
            this.policy = policy;
            this.sharedMean = sharedMean;
        }

        private void observe(double logRatio, double weight) {
            sharedMean.observe(logRatio, policy.smoothing());
            double difference = logRatio - ratioToExpected.mean;
            ratioToExpected.observe(logRatio, weight);
            variance += Math.max(policy.smoothing(), 1 / ratioToExpected.count) * (difference * difference - variance);
        }

        /** Returns the mean logarithm of the ratios, reduced by noise; 0 while there are too few observations. */
        private double deviation() {
            if (ratioToExpected.count < policy.minimumSamples()) {
                return 0;
            }
            return subtractNoise(
                    ratioToExpected.mean, variance, Math.min(ratioToExpected.count, 2 / policy.smoothing() - 1));
        }
    }

    /**
     * Exponentially weighted mean of logarithms, which is a plain mean while there are few observations; later it is as
     * accurate as a plain mean of (2 / smoothing - 1) samples.
     */
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
        private final Mean allBackends = new Mean();
        private double variance;

        void observe(Mean backend, double value, double weight) {
            double residual = backend.count == 0 ? value - allBackends.mean : value - backend.mean;
            boolean first = allBackends.count == 0;
            allBackends.observe(value, policy.smoothing() / 10);
            backend.observe(value, weight);
            if (!first) {
                variance += Math.max(policy.smoothing() / 10, 1 / allBackends.count) * (residual * residual - variance);
            }
        }

        /**
         * Returns the deviation of a back end's mean from the mean of all back ends, less the expected deviation and
         * reduced by noise.
         */
        double deviation(Mean backend, double expected) {
            if (backend.count == 0) {
                return 0;
            }
            double effectiveSamples = Math.min(backend.count, 2 / policy.smoothing() - 1);
            return subtractNoise(backend.mean - allBackends.mean - expected, variance, effectiveSamples);
        }
    }
}
