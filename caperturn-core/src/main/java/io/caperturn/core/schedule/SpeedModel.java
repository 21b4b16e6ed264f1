package io.caperturn.core.schedule;

/**
 * Learned service times of one kind of work at each back end.
 *
 * <p>Means are kept of logarithms, which a few long tasks move little. Two features are followed: the service time
 * itself, and its ratio to the declared estimate. The one that varies less tells the back ends' speeds, so declared
 * estimates are used as far as they prove informative.
 */
final class SpeedModel {
    private static final double MINIMUM_SECONDS = 1e-6;
    private static final double UNLIKELY_DEVIATIONS = 2.5;
    private static final double UNLIKELY_WEIGHT = 0.3;
    private static final int LEAST_SAMPLES = 20;
    private static final double UNLEARNED_FACTOR = 12;
    private static final double CHANCE_DEVIATIONS = 2;

    private final SchedulerPolicy.Speed policy;
    private final Feature services = new Feature();
    private final Feature ratios = new Feature();

    SpeedModel(SchedulerPolicy.Speed policy) {
        this.policy = policy;
    }

    /** What is known of one back end. */
    static final class Observed {
        private final Mean service = new Mean();
        private final Mean ratio = new Mean();

        double samples() {
            return service.count;
        }
    }

    /** Notes a service time; the estimate is not a number where none was declared. */
    void observe(Observed backend, OverallSpeed overall, double estimateSeconds, double serviceSeconds) {
        boolean unlikely = serviceSeconds > unlikelySeconds(estimateSeconds) * Math.exp(slowness(backend, overall));
        double weight = unlikely ? Math.max(policy.smoothing(), UNLIKELY_WEIGHT) : policy.smoothing();
        double logarithm = Math.log(Math.max(MINIMUM_SECONDS, serviceSeconds));
        overall.observe(logarithm - Math.log(expectedMedianSeconds(estimateSeconds)), weight);
        services.observe(backend.service, logarithm, weight);
        if (!Double.isNaN(estimateSeconds)) {
            double ratio = logarithm - Math.log(Math.max(MINIMUM_SECONDS, estimateSeconds));
            ratios.observe(backend.ratio, ratio, weight);
        }
    }

    double samples() {
        return services.all.count;
    }

    /**
     * Returns the logarithm of how much slower the back end is than the mean of all.
     *
     * <p>What all kinds showed of the back end holds for this one too, but for what this one showed otherwise.
     */
    double slowness(Observed backend, OverallSpeed overall) {
        double shared = overall.deviation();
        return shared
                + (ratiosTell()
                        ? ratios.deviation(backend.ratio, shared)
                        : services.deviation(backend.service, shared));
    }

    /** Returns the expected service time of a task at a back end of mean speed, in seconds. */
    double expectedSeconds(double estimateSeconds) {
        boolean declared = !Double.isNaN(estimateSeconds);
        if (declared && ratiosTell()) {
            return estimateSeconds * Math.exp(ratios.all.mean + ratios.variance / 2);
        }
        if (services.all.count >= policy.priorSamples() && services.all.count > 0) {
            return Math.exp(services.all.mean + services.variance / 2);
        }
        return declared ? estimateSeconds : TimeUnits.seconds(policy.defaultServiceTime());
    }

    private double expectedMedianSeconds(double estimateSeconds) {
        if (!Double.isNaN(estimateSeconds) && ratiosTell()) {
            return estimateSeconds * Math.exp(ratios.all.mean);
        }
        return services.all.count == 0 ? expectedSeconds(estimateSeconds) : Math.exp(services.all.mean);
    }

    /** Returns a service time that few tasks exceed at a back end of mean speed, in seconds. */
    double unlikelySeconds(double estimateSeconds) {
        double variance = !Double.isNaN(estimateSeconds) && ratiosTell() ? ratios.variance : services.variance;
        if (services.all.count < LEAST_SAMPLES) {
            return expectedSeconds(estimateSeconds) * UNLEARNED_FACTOR;
        }
        double spread = Math.exp(UNLIKELY_DEVIATIONS * Math.sqrt(variance) - variance / 2);
        return expectedSeconds(estimateSeconds) * Math.max(policy.overdueFactor(), spread);
    }

    private boolean ratiosTell() {
        return ratios.all.count > policy.priorSamples() && ratios.variance < services.variance;
    }

    private static double beyondChance(double difference, double variance, double samples) {
        double chance = CHANCE_DEVIATIONS * Math.sqrt(variance / samples);
        return Math.signum(difference) * Math.max(0, Math.abs(difference) - chance);
    }

    /** Speed that a back end showed with tasks of any kind. */
    static final class OverallSpeed {
        private final SchedulerPolicy.Speed policy;
        private final Mean all;
        private final Mean residual = new Mean();
        private double variance;

        /** Creates the speed of a back end that is compared with others by a mean that they share. */
        OverallSpeed(SchedulerPolicy.Speed policy, Mean all) {
            this.policy = policy;
            this.all = all;
        }

        private void observe(double logarithm, double weight) {
            all.observe(logarithm, policy.smoothing());
            double difference = logarithm - residual.mean;
            residual.observe(logarithm, weight);
            variance += Math.max(policy.smoothing(), 1 / residual.count) * (difference * difference - variance);
        }

        private double deviation() {
            if (residual.count < policy.priorSamples()) {
                return 0;
            }
            return beyondChance(residual.mean, variance, Math.min(residual.count, 2 / policy.smoothing() - 1));
        }
    }

    /** Mean of logarithms with exponentially fading weights. */
    static final class Mean {
        private double mean;
        private double count;

        void observe(double value, double smoothing) {
            count++;
            mean += Math.max(smoothing, 1 / count) * (value - mean);
        }
    }

    /** One feature over all back ends. */
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

        /** Returns the back end's deviation from an expected one, as far as it is more than chance. */
        double deviation(Mean backend, double expected) {
            if (backend.count == 0) {
                return 0;
            }
            double effective = Math.min(backend.count, 2 / policy.smoothing() - 1);
            return beyondChance(backend.mean - all.mean - expected, variance, effective);
        }
    }
}
