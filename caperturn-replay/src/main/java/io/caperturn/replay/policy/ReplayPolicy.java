package io.caperturn.replay.policy;

import io.caperturn.core.schedule.FairScheduler;
import io.caperturn.core.schedule.FifoScheduler;
import io.caperturn.core.schedule.LimitShare;
import io.caperturn.core.schedule.Scheduler;
import io.caperturn.core.schedule.SchedulerPolicy;
import java.util.List;
import java.util.random.RandomGeneratorFactory;
import java.util.stream.Stream;

/** What a trace is replayed with. */
public sealed interface ReplayPolicy {
    /** Places for waiting attempts at each slot of a sidecar where they are not bounded. */
    int UNBOUNDED_QUEUE_PER_SLOT = 100_000;

    /** Places for waiting attempts at each slot of a sidecar in the product. */
    int PRODUCT_QUEUE_PER_SLOT = 1;

    /**
     * Returns the policy's name in reports.
     *
     * @return the name
     */
    String name();

    /**
     * Creates the scheduler of one entry.
     *
     * @param seed seed of its source of chance, if it has one
     * @param share the entry's part of the limits
     * @return the scheduler
     */
    Scheduler newScheduler(long seed, LimitShare share);

    /**
     * Returns how many attempts may wait for each slot at a sidecar.
     *
     * @return the number
     */
    int queuedPerSlot();

    /**
     * Tells whether sidecars know the table and let urgent attempts go before others that wait there.
     *
     * @return true for the product, false for baselines
     */
    default boolean sidecarsKnowTable() {
        return !(this instanceof Push);
    }

    /**
     * The product's scheduler.
     *
     * @param policy its constants
     */
    record Fair(SchedulerPolicy policy) implements ReplayPolicy {
        @Override
        public String name() {
            return "caperturn";
        }

        @Override
        public Scheduler newScheduler(long seed, LimitShare share) {
            return new FairScheduler(policy, share);
        }

        @Override
        public int queuedPerSlot() {
            return PRODUCT_QUEUE_PER_SLOT;
        }
    }

    /** The product's first scheduler. */
    record Fifo() implements ReplayPolicy {
        @Override
        public String name() {
            return "fifo";
        }

        @Override
        public Scheduler newScheduler(long seed, LimitShare share) {
            return new FifoScheduler();
        }

        @Override
        public int queuedPerSlot() {
            return PRODUCT_QUEUE_PER_SLOT;
        }
    }

    /**
     * A baseline.
     *
     * @param name its name
     * @param rule how it picks back ends
     */
    record Push(String name, PlacementRule rule) implements ReplayPolicy {
        @Override
        public Scheduler newScheduler(long seed, LimitShare share) {
            return new PushScheduler(
                    rule, RandomGeneratorFactory.of("L64X128MixRandom").create(seed));
        }

        @Override
        public int queuedPerSlot() {
            return UNBOUNDED_QUEUE_PER_SLOT;
        }
    }

    /**
     * Returns the baselines.
     *
     * @return random, round robin, least outstanding and two choices
     */
    static List<ReplayPolicy> baselines() {
        return List.of(
                new Push("random", new PlacementRule.RandomChoice()),
                new Push("round-robin", new PlacementRule.RoundRobin()),
                new Push("least-outstanding", new PlacementRule.LeastOutstanding()),
                new Push("two-choices", new PlacementRule.TwoChoices()));
    }

    /**
     * Returns all policies, the product's first.
     *
     * @return the policies
     */
    static List<ReplayPolicy> all() {
        return Stream.concat(Stream.of(new Fair(SchedulerPolicy.DEFAULT), new Fifo()), baselines().stream())
                .toList();
    }
}
