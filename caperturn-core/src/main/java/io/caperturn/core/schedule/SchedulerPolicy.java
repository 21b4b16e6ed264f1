package io.caperturn.core.schedule;

import java.time.Duration;
import java.util.Objects;

/**
 * Parameters of a {@link FairScheduler}.
 *
 * @param order how waiting tasks are ordered
 * @param speed how service times are learned
 * @param health how failing back ends are avoided
 * @param admission when submissions are refused or failed
 */
public record SchedulerPolicy(OrderPolicy order, SpeedPolicy speed, HealthPolicy health, AdmissionPolicy admission) {
    /** Default parameters. */
    public static final SchedulerPolicy DEFAULT = new SchedulerPolicy(
            OrderPolicy.DEFAULT, SpeedPolicy.DEFAULT, HealthPolicy.DEFAULT, AdmissionPolicy.DEFAULT);

    /** Checks that no component is null. */
    public SchedulerPolicy {
        Objects.requireNonNull(order, "order");
        Objects.requireNonNull(speed, "speed");
        Objects.requireNonNull(health, "health");
        Objects.requireNonNull(admission, "admission");
    }

    /**
     * Returns the same parameters with another grace period for kinds without upstreams.
     *
     * @param grace how long a kind may have no upstream before its submissions are failed
     * @return the changed parameters
     */
    public SchedulerPolicy withUnservableGrace(Duration grace) {
        return new SchedulerPolicy(
                order,
                speed,
                health,
                new AdmissionPolicy(
                        grace,
                        admission.minimumRetryDelay(),
                        admission.maximumRetryDelay(),
                        admission.deadlineSafety(),
                        admission.minimumSamples()));
    }

    /**
     * How waiting tasks are ordered.
     *
     * @param normalWait how long tasks of normal urgency may wait before they get the overdue share
     * @param backgroundWait how long background tasks may wait before they get the overdue share ahead of normal tasks
     * @param backgroundWaitBeforeUrgent how long background tasks may wait before they get the overdue share ahead of
     *     urgent tasks too
     * @param overdueShare the fraction of slot time that an overdue class gets ahead of more urgent ones, within (0, 1)
     * @param stretch the factor of due times, at least 0: a submission is due when this multiple of its ideal time has
     *     passed since it was enqueued, and the submissions of a team are served in order of due time; the ideal time
     *     is that of its waiting tasks when they use all slots of the kind; large values favour small submissions
     */
    public record OrderPolicy(
            Duration normalWait,
            Duration backgroundWait,
            Duration backgroundWaitBeforeUrgent,
            double overdueShare,
            double stretch) {
        /** Default parameters. */
        public static final OrderPolicy DEFAULT =
                new OrderPolicy(Duration.ofSeconds(5), Duration.ofSeconds(1), Duration.ofSeconds(10), 0.2, 10);

        /** Checks the ranges of the components. */
        public OrderPolicy {
            Objects.requireNonNull(normalWait, "normalWait");
            Objects.requireNonNull(backgroundWait, "backgroundWait");
            Objects.requireNonNull(backgroundWaitBeforeUrgent, "backgroundWaitBeforeUrgent");
            if (overdueShare <= 0 || overdueShare >= 1 || stretch < 0) {
                throw new IllegalArgumentException("overdueShare must be within (0, 1) and stretch not negative");
            }
        }
    }

    /**
     * How service times are learned.
     *
     * @param smoothing the weight of the newest observation in a mean, within (0, 1]
     * @param priorSamples the number of observations below which learned means are not used
     * @param defaultServiceTime the expected service time where none was declared or observed
     * @param overdueFactor the minimum multiple of its expected time after which a running task marks its back end as
     *     slow
     * @param waitMargin a task waits for a faster back end if the time of waiting and running there is below this
     *     fraction of its expected time at a free slower one
     */
    public record SpeedPolicy(
            double smoothing, int priorSamples, Duration defaultServiceTime, double overdueFactor, double waitMargin) {
        /** Default parameters. */
        public static final SpeedPolicy DEFAULT = new SpeedPolicy(0.05, 3, Duration.ofMillis(200), 3, 0.3);

        /** Checks the ranges of the components. */
        public SpeedPolicy {
            Objects.requireNonNull(defaultServiceTime, "defaultServiceTime");
            if (smoothing <= 0 || smoothing > 1 || priorSamples < 0 || overdueFactor < 1 || waitMargin < 0) {
                throw new IllegalArgumentException(
                        "smoothing must be within (0, 1], overdueFactor not below 1, the others not negative");
            }
        }
    }

    /**
     * How back ends that fail tasks while others complete theirs are avoided.
     *
     * @param minimumFailures the consecutive failures, of different submissions, before a back end is ejected
     * @param peerFailureRatio the failure ratio of the other back ends above which a failure is not attributed to the
     *     back end
     * @param ejectableFraction the maximum fraction of the back ends that may be ejected or on probation at once
     * @param firstEjection how long the first ejection lasts
     * @param maximumEjection the maximum time of an ejection; each consecutive one lasts twice as long as the one
     *     before
     * @param nonIdempotentProbeDelay how long a back end on probation gets only idempotent tasks before it may get any
     * @param refusalPause how long a sidecar that refused a task gets no tasks, doubled at each consecutive refusal
     * @param newBackendSlots the number of slots of a new back end that are used at first if others serve its kinds;
     *     each completed task adds one
     */
    public record HealthPolicy(
            int minimumFailures,
            double peerFailureRatio,
            double ejectableFraction,
            Duration firstEjection,
            Duration maximumEjection,
            Duration nonIdempotentProbeDelay,
            Duration refusalPause,
            int newBackendSlots) {
        /** Default parameters. */
        public static final HealthPolicy DEFAULT = new HealthPolicy(
                3,
                0.3,
                0.5,
                Duration.ofSeconds(1),
                Duration.ofSeconds(30),
                Duration.ofMillis(500),
                Duration.ofMillis(10),
                2);

        /** Checks the ranges of the components. */
        public HealthPolicy {
            Objects.requireNonNull(firstEjection, "firstEjection");
            Objects.requireNonNull(maximumEjection, "maximumEjection");
            Objects.requireNonNull(nonIdempotentProbeDelay, "nonIdempotentProbeDelay");
            Objects.requireNonNull(refusalPause, "refusalPause");
            if (minimumFailures < 1 || newBackendSlots < 1 || ejectableFraction < 0 || ejectableFraction > 1) {
                throw new IllegalArgumentException(
                        "minimumFailures and newBackendSlots must be at least 1, ejectableFraction within [0, 1]");
            }
        }
    }

    /**
     * When submissions are refused or failed.
     *
     * @param unservableGrace how long a kind may have no upstream before its submissions are failed
     * @param minimumRetryDelay the minimum delay after which a refused client is asked to retry
     * @param maximumRetryDelay the maximum delay after which a refused client is asked to retry
     * @param deadlineSafety the fraction of a submission's ideal time (with all slots of its kind) that must fit before
     *     the deadline; below 1, a submission is refused only if it is far from finishing in time
     * @param minimumSamples the number of observed service times of a kind needed before a submission is refused
     *     because of its deadline
     */
    public record AdmissionPolicy(
            Duration unservableGrace,
            Duration minimumRetryDelay,
            Duration maximumRetryDelay,
            double deadlineSafety,
            int minimumSamples) {
        /** Default parameters. */
        public static final AdmissionPolicy DEFAULT =
                new AdmissionPolicy(Duration.ofSeconds(3), Duration.ofMillis(100), Duration.ofSeconds(60), 0.5, 20);

        /** Checks the ranges of the components. */
        public AdmissionPolicy {
            Objects.requireNonNull(unservableGrace, "unservableGrace");
            Objects.requireNonNull(minimumRetryDelay, "minimumRetryDelay");
            Objects.requireNonNull(maximumRetryDelay, "maximumRetryDelay");
            if (deadlineSafety < 0 || minimumSamples < 1 || minimumRetryDelay.compareTo(maximumRetryDelay) > 0) {
                throw new IllegalArgumentException(
                        "needs deadlineSafety >= 0, minimumSamples at least 1, minimumRetryDelay <= maximumRetryDelay");
            }
        }
    }
}
