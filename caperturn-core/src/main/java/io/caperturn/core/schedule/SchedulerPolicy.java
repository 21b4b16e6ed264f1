package io.caperturn.core.schedule;

import java.time.Duration;
import java.util.Objects;

/**
 * Constants that a {@link FairScheduler} keeps to.
 *
 * @param order how waiting tasks are ordered
 * @param speed how service times are learned
 * @param health how back ends that fail are avoided
 * @param admission when submissions are refused or given up
 */
public record SchedulerPolicy(Order order, Speed speed, Health health, Refusal admission) {
    /** Constants for ordinary use. */
    public static final SchedulerPolicy DEFAULT =
            new SchedulerPolicy(Order.DEFAULT, Speed.DEFAULT, Health.DEFAULT, Refusal.DEFAULT);

    /** Checks that all parts are present. */
    public SchedulerPolicy {
        Objects.requireNonNull(order, "order");
        Objects.requireNonNull(speed, "speed");
        Objects.requireNonNull(health, "health");
        Objects.requireNonNull(admission, "admission");
    }

    /**
     * Returns the same constants with another grace for kinds without upstreams.
     *
     * @param grace how long a kind may have no upstream before its submissions are failed
     * @return the changed constants
     */
    public SchedulerPolicy withUnservableGrace(Duration grace) {
        return new SchedulerPolicy(
                order,
                speed,
                health,
                new Refusal(
                        grace,
                        admission.shortestRetry(),
                        admission.longestRetry(),
                        admission.deadlineSafety(),
                        admission.minimumSamples()));
    }

    /**
     * How waiting tasks are ordered.
     *
     * @param normalWait how long work of normal urgency may wait before it gets the overdue share
     * @param backgroundWait how long background work may wait before it gets the overdue share beside normal work
     * @param longestBackgroundWait how long background work may wait before it gets that share beside urgent work too
     * @param overdueShare the part of slot time that an overdue class gets before more urgent ones, within (0, 1)
     * @param stretch multiple of a submission's remaining ideal time after its arrival by which it is served at the
     *     latest among the submissions of its team; large values serve small submissions first
     */
    public record Order(
            Duration normalWait,
            Duration backgroundWait,
            Duration longestBackgroundWait,
            double overdueShare,
            double stretch) {
        /** Constants for ordinary use. */
        public static final Order DEFAULT =
                new Order(Duration.ofSeconds(5), Duration.ofSeconds(1), Duration.ofSeconds(10), 0.2, 10);

        /** Checks the ranges. */
        public Order {
            Objects.requireNonNull(normalWait, "normalWait");
            Objects.requireNonNull(backgroundWait, "backgroundWait");
            Objects.requireNonNull(longestBackgroundWait, "longestBackgroundWait");
            if (overdueShare <= 0 || overdueShare >= 1 || stretch < 0) {
                throw new IllegalArgumentException("overdueShare must be within (0, 1) and stretch not negative");
            }
        }
    }

    /**
     * How service times are learned.
     *
     * @param smoothing weight of the newest observation in a mean, within (0, 1]
     * @param priorSamples number of observations that the mean of all back ends counts for
     * @param defaultServiceTime expected service time where nothing was declared or observed
     * @param overdueFactor least multiple of its expected time after which a running task makes its back end count as
     *     slow
     * @param waitMargin part of the time at a free slow back end that waiting for a fast one must stay below
     */
    public record Speed(
            double smoothing, int priorSamples, Duration defaultServiceTime, double overdueFactor, double waitMargin) {
        /** Constants for ordinary use. */
        public static final Speed DEFAULT = new Speed(0.05, 3, Duration.ofMillis(200), 3, 0.3);

        /** Checks the ranges. */
        public Speed {
            Objects.requireNonNull(defaultServiceTime, "defaultServiceTime");
            if (smoothing <= 0 || smoothing > 1 || priorSamples < 0 || overdueFactor < 1 || waitMargin < 0) {
                throw new IllegalArgumentException("smoothing must be within (0, 1], the factors positive");
            }
        }
    }

    /**
     * How back ends that fail what others complete are avoided.
     *
     * @param minimumFailures consecutive failures, of different submissions, before a back end is ejected
     * @param peerFailureRatio failure ratio of the other back ends above which the fault is not the back end's
     * @param ejectableFraction largest part of the back ends that may be ejected or on probation at once
     * @param firstEjection how long the first ejection lasts
     * @param longestEjection how long an ejection lasts at most, each being twice as long as the one before
     * @param probePatience how long a probe waits for an idempotent request before it takes any task
     * @param refusalPause how long a sidecar that refused a task is left alone, doubled at each refusal in a row
     * @param newcomerSlots slots used of a new back end until its first completions
     */
    public record Health(
            int minimumFailures,
            double peerFailureRatio,
            double ejectableFraction,
            Duration firstEjection,
            Duration longestEjection,
            Duration probePatience,
            Duration refusalPause,
            int newcomerSlots) {
        /** Constants for ordinary use. */
        public static final Health DEFAULT = new Health(
                3,
                0.3,
                0.5,
                Duration.ofSeconds(1),
                Duration.ofSeconds(30),
                Duration.ofMillis(500),
                Duration.ofMillis(10),
                2);

        /** Checks the ranges. */
        public Health {
            Objects.requireNonNull(firstEjection, "firstEjection");
            Objects.requireNonNull(longestEjection, "longestEjection");
            Objects.requireNonNull(probePatience, "probePatience");
            Objects.requireNonNull(refusalPause, "refusalPause");
            if (minimumFailures < 1 || newcomerSlots < 1 || ejectableFraction < 0 || ejectableFraction > 1) {
                throw new IllegalArgumentException("counts must be at least 1, the fraction within [0, 1]");
            }
        }
    }

    /**
     * When submissions are refused or given up.
     *
     * @param unservableGrace how long a kind may have no upstream before its submissions are failed
     * @param shortestRetry the shortest time after which a refused client is asked to come back
     * @param longestRetry the longest time after which a refused client is asked to come back
     * @param deadlineSafety part of a submission's expected ideal time that must fit before its deadline
     * @param minimumSamples observations of a kind needed before a submission is refused for its deadline
     */
    public record Refusal(
            Duration unservableGrace,
            Duration shortestRetry,
            Duration longestRetry,
            double deadlineSafety,
            int minimumSamples) {
        /** Constants for ordinary use. */
        public static final Refusal DEFAULT =
                new Refusal(Duration.ofSeconds(3), Duration.ofMillis(100), Duration.ofSeconds(60), 0.5, 20);

        /** Checks the ranges. */
        public Refusal {
            Objects.requireNonNull(unservableGrace, "unservableGrace");
            Objects.requireNonNull(shortestRetry, "shortestRetry");
            Objects.requireNonNull(longestRetry, "longestRetry");
            if (deadlineSafety < 0 || minimumSamples < 1 || shortestRetry.compareTo(longestRetry) > 0) {
                throw new IllegalArgumentException("deadlineSafety must not be negative, minimumSamples at least 1");
            }
        }
    }
}
