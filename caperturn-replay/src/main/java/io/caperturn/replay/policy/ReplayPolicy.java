package io.caperturn.replay.policy;

import io.caperturn.core.schedule.FairScheduler;
import io.caperturn.core.schedule.FifoScheduler;
import io.caperturn.core.schedule.LimitShare;
import io.caperturn.core.schedule.Scheduler;
import io.caperturn.core.schedule.SchedulerPolicy;
import java.util.List;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Stream;

/**
 * Scheduling policy with which a trace is replayed: one of the schedulers of Caperturn, or a baseline to compare them
 * with.
 */
public sealed interface ReplayPolicy {
    /**
     * Maximum number of attempts that wait for each slot of a sidecar process in baselines; so high that it has no
     * effect.
     */
    int BASELINE_QUEUE_PER_SLOT = 100_000;

    /** Maximum number of attempts that wait for each slot of a sidecar in the policies of Caperturn. */
    int CAPERTURN_QUEUE_PER_SLOT = 1;

    /**
     * Returns the policy's name in reports.
     *
     * @return the name
     */
    String name();

    /**
     * Creates the scheduler of one entry, a process that accepts submissions.
     *
     * @param seed the seed of its random number generator, if it has one
     * @param share the entry's share of the limits of kinds of task and of teams
     * @return the scheduler
     */
    Scheduler createScheduler(long seed, LimitShare share);

    /**
     * Returns the maximum number of attempts that wait for each slot of a sidecar.
     *
     * @return the maximum
     */
    int queuedPerSlot();

    /**
     * Returns whether sidecars use the table of kinds to start urgent attempts before others that wait there.
     *
     * @return true for the policies of Caperturn, false for baselines
     */
    default boolean sidecarsUseTable() {
        return !(this instanceof Push);
    }

    /**
     * The fair scheduler of Caperturn.
     *
     * @param policy the constants of the scheduler
     */
    record Fair(SchedulerPolicy policy) implements ReplayPolicy {
        @Override
        public String name() {
            return "caperturn";
        }

        @Override
        public Scheduler createScheduler(long seed, LimitShare share) {
            return new FairScheduler(policy, share);
        }

        @Override
        public int queuedPerSlot() {
            return CAPERTURN_QUEUE_PER_SLOT;
        }
    }

    /** The first-in-first-out scheduler of Caperturn, the predecessor of {@link Fair}. */
    record Fifo() implements ReplayPolicy {
        @Override
        public String name() {
            return "fifo";
        }

        @Override
        public Scheduler createScheduler(long seed, LimitShare share) {
            return new FifoScheduler();
        }

        @Override
        public int queuedPerSlot() {
            return CAPERTURN_QUEUE_PER_SLOT;
        }
    }

    /**
     * A baseline, which assigns each task to a sidecar on arrival.
     *
     * @param name the name of the baseline
     * @param rule the rule that picks the sidecar
     */
    record Push(String name, PlacementRule rule) implements ReplayPolicy {
        @Override
        public Scheduler createScheduler(long seed, LimitShare share) {
            return new PushScheduler(
                    rule, RandomGeneratorFactory.of("L64X128MixRandom").create(seed));
        }

        @Override
        public int queuedPerSlot() {
            return BASELINE_QUEUE_PER_SLOT;
        }
    }

    /**
     * Returns the baselines.
     *
     * @return the baselines random, round-robin, least-outstanding and two-choices
     */
    static List<ReplayPolicy> baselines() {
        return List.of(
                new Push("random", new PlacementRule.RandomChoice()),
                new Push("round-robin", new PlacementRule.RoundRobin()),
                new Push("least-outstanding", new PlacementRule.LeastOutstanding()),
                new Push("two-choices", new PlacementRule.TwoChoices()));
    }

    /**
     * Returns all policies, those of Caperturn first.
     *
     * @return the policies
     */
    static List<ReplayPolicy> all() {
        return Stream.concat(Stream.of(new Fair(SchedulerPolicy.DEFAULT), new Fifo()), baselines().stream())
                .toList();
    }
}
