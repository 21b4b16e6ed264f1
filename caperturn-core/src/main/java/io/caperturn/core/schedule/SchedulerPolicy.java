package io.caperturn.core.schedule;

import java.time.Duration;
import java.util.Objects;

/**
 * Parameters of a {@link FairScheduler}, which places tasks at back ends (sidecar processes with their upstreams).
 *
 * @param order how waiting tasks are ordered
 * @param speed how service times are learned
 * @param health when a failing back end is avoided
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
     * Returns the same parameters with another grace period for kinds of task that no upstream serves.
     *
     * @param grace the new value of {@link AdmissionPolicy#unservableGrace}
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
                        admission.idealTimeFraction(),
                        admission.minimumSamples()));
    }

    /**
     * How waiting tasks are ordered.
     *
     * <p>The tasks of one urgency form a class. A class whose tasks have waited too long is overdue and gets a share of
     * the slot time ahead of more urgent classes. The submissions of a team are served in order of due time.
     *
     * @param normalWait how long tasks of normal urgency may wait before their class is overdue
     * @param backgroundWait how long background tasks may wait before their class gets its share ahead of normal tasks
     * @param backgroundWaitBeforeUrgent how long background tasks may wait before their class gets its share ahead of
     *     urgent tasks too
     * @param overdueShare the fraction of slot time that an overdue class gets ahead of more urgent ones, within (0, 1)
     * @param dueTimeFactor a submission is due when this multiple of its ideal time, at least 0, has passed since it
     *     was enqueued; the ideal time is the run time of its waiting tasks on all slots of the kind; large values
     *     favour small submissions
     */
    public record OrderPolicy(
            Duration normalWait,
            Duration backgroundWait,
            Duration backgroundWaitBeforeUrgent,
            double overdueShare,
            double dueTimeFactor) {
        /** Default parameters. */
        public static final OrderPolicy DEFAULT = new OrderPolicy(
                /* normalWait= */ Duration.ofSeconds(5),
                /* backgroundWait= */ Duration.ofSeconds(1),
                /* backgroundWaitBeforeUrgent= */ Duration.ofSeconds(10),
                /* overdueShare= */ 0.2,
                /* dueTimeFactor= */ 10);

        /** Checks the ranges of the components. */
        public OrderPolicy {
            Objects.requireNonNull(normalWait, "normalWait");
            Objects.requireNonNull(backgroundWait, "backgroundWait");
            Objects.requireNonNull(backgroundWaitBeforeUrgent, "backgroundWaitBeforeUrgent");
            if (overdueShare <= 0 || overdueShare >= 1 || dueTimeFactor < 0) {
                throw new IllegalArgumentException("overdueShare must be within (0, 1) and dueTimeFactor not negative");
            }
        }
    }

    /**
     * How service times are learned and used.
     *
     * @param smoothing the weight of the newest observation in a mean, within (0, 1]
     * @param minimumSamples the number of observed service times below which learned means are not used
     * @param defaultServiceTime the expected service time where none was declared or observed
     * @param overdueFactor the minimum multiple of its expected time after which a running task is overdue and its back
     *     end counts as slow
     * @param waitMargin a task waits for a busy faster back end if it is expected to finish there within this fraction
     *     of its expected time at the fastest free one
     */
    public record SpeedPolicy(
            double smoothing,
            int minimumSamples,
            Duration defaultServiceTime,
            double overdueFactor,
            double waitMargin) {
        /** Default parameters. */
        public static final SpeedPolicy DEFAULT = new SpeedPolicy(
                /* smoothing= */ 0.05,
                /* minimumSamples= */ 3,
                /* defaultServiceTime= */ Duration.ofMillis(200),
                /* overdueFactor= */ 3,
                /* waitMargin= */ 0.3);

        /** Checks the ranges of the components. */
        public SpeedPolicy {
            Objects.requireNonNull(defaultServiceTime, "defaultServiceTime");
            if (smoothing <= 0 || smoothing > 1 || minimumSamples < 0 || overdueFactor < 1 || waitMargin < 0) {
                throw new IllegalArgumentException(
                        "smoothing must be within (0, 1], overdueFactor not below 1, the others not negative");
            }
        }
    }

    /**
     * When a back end is avoided because it fails tasks while others complete theirs.
     *
     * <p>A back end is first put on probation, in which it gets one task at a time, and then ejected for some time, in
     * which it gets none.
     *
     * @param minimumFailures the number of consecutive failures, of different submissions, at which a back end is
     *     ejected
     * @param maximumPeerFailureRatio the ratio of failures to all outcomes at the other back ends above which a failure
     *     is not attributed to the back end
     * @param maximumEjectedFraction the maximum fraction of the back ends that may be ejected or on probation at once
     * @param firstEjection how long the first ejection lasts
     * @param maximumEjection the maximum time of an ejection; each consecutive one lasts twice as long as the one
     *     before
     * @param nonIdempotentProbeDelay how long a back end on probation gets only idempotent tasks
     * @param refusalPause how long a back end whose sidecar refused a task gets no tasks, doubled at each consecutive
     *     refusal
     * @param newBackendSlots the number of slots of a new back end that are used at first if others serve its kinds;
     *     each completed task adds one
     */
    public record HealthPolicy(
            int minimumFailures,
            double maximumPeerFailureRatio,
            double maximumEjectedFraction,
            Duration firstEjection,
            Duration maximumEjection,
            Duration nonIdempotentProbeDelay,
            Duration refusalPause,
            int newBackendSlots) {
        /** Default parameters. */
        public static final HealthPolicy DEFAULT = new HealthPolicy(
                /* minimumFailures= */ 3,
                /* maximumPeerFailureRatio= */ 0.3,
                /* maximumEjectedFraction= */ 0.5,
                /* firstEjection= */ Duration.ofSeconds(1),
                /* maximumEjection= */ Duration.ofSeconds(30),
                /* nonIdempotentProbeDelay= */ Duration.ofMillis(500),
                /* refusalPause= */ Duration.ofMillis(10),
                /* newBackendSlots= */ 2);

        /** Checks the ranges of the components. */
        public HealthPolicy {
            Objects.requireNonNull(firstEjection, "firstEjection");
            Objects.requireNonNull(maximumEjection, "maximumEjection");
            Objects.requireNonNull(nonIdempotentProbeDelay, "nonIdempotentProbeDelay");
            Objects.requireNonNull(refusalPause, "refusalPause");
            if (minimumFailures < 1
                    || newBackendSlots < 1
                    || maximumEjectedFraction < 0
                    || maximumEjectedFraction > 1) {
                throw new IllegalArgumentException(
                        "minimumFailures and newBackendSlots must be at least 1, maximumEjectedFraction within [0, 1]");
            }
        }
    }

    /**
     * When submissions are refused or failed.
     *
     * @param unservableGrace how long a kind may have no upstream before its submissions are refused and the waiting
     *     ones failed
     * @param minimumRetryDelay the minimum delay after which a refused client is asked to retry
     * @param maximumRetryDelay the maximum delay after which a refused client is asked to retry
     * @param idealTimeFraction the fraction of a submission's ideal time (its run time on all slots of the kind) that
     *     must remain before the deadline; a value below 1 refuses only submissions that are far from finishing in time
     * @param minimumSamples the number of observed service times of a kind needed before a submission is refused
     *     because of its deadline
     */
    public record AdmissionPolicy(
            Duration unservableGrace,
            Duration minimumRetryDelay,
            Duration maximumRetryDelay,
            double idealTimeFraction,
            int minimumSamples) {
        /** Default parameters. */
        public static final AdmissionPolicy DEFAULT = new AdmissionPolicy(
                /* unservableGrace= */ Duration.ofSeconds(3),
                /* minimumRetryDelay= */ Duration.ofMillis(100),
                /* maximumRetryDelay= */ Duration.ofSeconds(60),
                /* idealTimeFraction= */ 0.5,
                /* minimumSamples= */ 20);

        /** Checks the ranges of the components. */
        public AdmissionPolicy {
            Objects.requireNonNull(unservableGrace, "unservableGrace");
            Objects.requireNonNull(minimumRetryDelay, "minimumRetryDelay");
            Objects.requireNonNull(maximumRetryDelay, "maximumRetryDelay");
            if (idealTimeFraction < 0 || minimumSamples < 1 || minimumRetryDelay.compareTo(maximumRetryDelay) > 0) {
                throw new IllegalArgumentException(
                        "needs idealTimeFraction >= 0, minimumSamples >= 1, minimumRetryDelay <= maximumRetryDelay");
            }
        }
    }
}
