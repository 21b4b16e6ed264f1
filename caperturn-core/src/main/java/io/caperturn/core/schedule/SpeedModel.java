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
    void observe(Observed backend, double estimateSeconds, double serviceSeconds) {
        double logarithm = Math.log(Math.max(MINIMUM_SECONDS, serviceSeconds));
        services.observe(backend.service, logarithm);
        if (!Double.isNaN(estimateSeconds)) {
            ratios.observe(backend.ratio, logarithm - Math.log(Math.max(MINIMUM_SECONDS, estimateSeconds)));
        }
    }

    /** Notes that a task runs for longer than expected and still does; other back ends' means stay as they are. */
    void observeOverdue(Observed backend, double estimateSeconds, double elapsedSeconds) {
        double logarithm = Math.log(Math.max(MINIMUM_SECONDS, elapsedSeconds));
        backend.service.raise(logarithm, policy.smoothing());
        if (!Double.isNaN(estimateSeconds)) {
            backend.ratio.raise(logarithm - Math.log(Math.max(MINIMUM_SECONDS, estimateSeconds)), policy.smoothing());
        }
    }

    double samples() {
        return services.all.count;
    }

    /** Returns the logarithm of how much slower the back end is than the mean of all. */
    double slowness(Observed backend) {
        return ratiosTell() ? ratios.deviation(backend.ratio) : services.deviation(backend.service);
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

    /** Returns a service time that few tasks exceed at a back end of mean speed, in seconds. */
    double unlikelySeconds(double estimateSeconds) {
        double variance = !Double.isNaN(estimateSeconds) && ratiosTell() ? ratios.variance : services.variance;
        double spread = Math.exp(UNLIKELY_DEVIATIONS * Math.sqrt(variance) - variance / 2);
        return expectedSeconds(estimateSeconds) * Math.max(policy.overdueFactor(), spread);
    }

    private boolean ratiosTell() {
        return ratios.all.count > policy.priorSamples() && ratios.variance < services.variance;
    }

    /** Mean of logarithms with exponentially fading weights. */
    private static final class Mean {
        private double mean;
        private double count;

        void observe(double value, double smoothing) {
            count++;
            mean += Math.max(smoothing, 1 / count) * (value - mean);
        }

        void raise(double value, double smoothing) {
            if (count == 0 || value > mean) {
                observe(value, Math.max(smoothing, 0.5));
            }
        }
    }

    /** One feature over all back ends. */
    private final class Feature {
        private final Mean all = new Mean();
        private double variance;

        void observe(Mean backend, double value) {
            double residual = backend.count == 0 ? value - all.mean : value - backend.mean;
            boolean first = all.count == 0;
            all.observe(value, policy.smoothing() / 10);
            backend.observe(value, policy.smoothing());
            if (!first) {
                variance += Math.max(policy.smoothing() / 10, 1 / all.count) * (residual * residual - variance);
            }
        }

        /** Returns the backend's deviation from the mean as far as it is more than chance. */
        double deviation(Mean backend) {
            if (backend.count == 0) {
                return 0;
            }
            double difference = backend.mean - all.mean;
            double effective = Math.min(backend.count, 2 / policy.smoothing() - 1);
            double chance = CHANCE_DEVIATIONS * Math.sqrt(variance / effective);
            return Math.signum(difference) * Math.max(0, Math.abs(difference) - chance);
        }
    }
}
