package io.caperturn.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Back ends (sidecar processes with their upstreams) that serve one kind of task, grouped by speed.
 *
 * <p>Back ends of similar speed form a band, and the free ones of a band are sorted by load, the fraction of their
 * capacity in use with one more task. The capacity of a back end is the maximum number of tasks outstanding there.
 * Finding the fastest free back end therefore takes time logarithmic in the number of back ends. Back ends on
 * probation, which get one task at a time after failures, are kept apart.
 */
final class KindPool {
    /** Number of bands; at most 64, the bits of {@link #freeBandBits}. */
    private static final int BAND_COUNT = 41;

    /** Band of the mean speed. */
    private static final int MIDDLE_BAND = BAND_COUNT / 2;

    /** Logarithmic width of a band: service times within one band differ by up to 20 percent. */
    private static final double BAND_WIDTH = Math.log(1.2);

    private static final Comparator<PoolMember> BY_LOAD = Comparator.comparingDouble((PoolMember member) -> member.load)
            .thenComparingInt(member -> member.backend.sequenceNumber());

    private final ServiceTimeModel serviceTimes;
    private final List<NavigableSet<PoolMember>> freeByBand = new ArrayList<>();
    private final NavigableSet<PoolMember> freeOnProbation = new TreeSet<>(BY_LOAD);
    private final int[] capacityByBand = new int[BAND_COUNT];
    /** Bit set of the bands that have a free back end; the lowest bit is the fastest band. */
    private long freeBandBits;

    private int servingBackends;
    private int totalCapacity;
    private int servingSlots;

    KindPool(ServiceTimeModel serviceTimes) {
        this.serviceTimes = serviceTimes;
        for (int band = 0; band < BAND_COUNT; band++) {
            freeByBand.add(new TreeSet<>(BY_LOAD));
        }
    }

    /** Member of a pool: a back end with its speed for the kind of the pool. */
    static final class PoolMember {
        private final KindState kind;
        private final KindPool pool;
        private final Backend backend;
        private final ServiceTimeModel.BackendObservations observations = new ServiceTimeModel.BackendObservations();
        private int band = MIDDLE_BAND;
        /** The capacity of the back end that the pool's totals include now; 0 on probation. */
        private int countedCapacity;
        /** The slots of the back end that {@link KindPool#servingSlots} includes now. */
        private int servingSlots;

        private double load;
        private boolean isFree;
        private boolean isServing;
        private boolean isOnProbation;

        PoolMember(KindState kind, Backend backend) {
            this.kind = kind;
            this.pool = kind.pool();
            this.backend = backend;
        }

        Backend backend() {
            return backend;
        }

        KindState kind() {
            return kind;
        }

        ServiceTimeModel.BackendObservations observations() {
            return observations;
        }

        /** Returns the ratio of service times at this back end to those at a back end of mean speed. */
        double slowness() {
            return Math.exp((band - MIDDLE_BAND) * BAND_WIDTH);
        }

        void refresh() {
            pool.refresh(this);
        }

        void leave() {
            pool.leave(this);
        }
    }

    int servingBackends() {
        return servingBackends;
    }

    /** Returns the sum of the capacities of the back ends that are not on probation. */
    int totalCapacity() {
        return totalCapacity;
    }

    /** Returns the number of slots of all back ends that accept new tasks, regardless of their windows. */
    int servingSlots() {
        return servingSlots;
    }

    boolean hasFreeBackend() {
        return freeBandBits != 0 || !freeOnProbation.isEmpty();
    }

    /**
     * Returns a free back end on probation that may get a task now. A task that is not idempotent is allowed only after
     * a further delay.
     *
     * @param idempotent whether the task is idempotent
     * @param nonIdempotentDelay the further delay in nanoseconds
     * @param now the time in nanoseconds since the epoch
     */
    Optional<PoolMember> findFreeOnProbation(boolean idempotent, long nonIdempotentDelay, long now) {
        for (PoolMember member : freeOnProbation) {
            long earliest = member.backend.firstProbeAt() + (idempotent ? 0 : nonIdempotentDelay);
            if (now >= earliest) {
                return Optional.of(member);
            }
        }
        return Optional.empty();
    }

    Optional<PoolMember> findFastestFree() {
        if (freeBandBits == 0) {
            return Optional.empty();
        }
        return Optional.of(
                freeByBand.get(Long.numberOfTrailingZeros(freeBandBits)).first());
    }

    /** Returns the {@linkplain PoolMember#slowness slowness} of the fastest band with capacity, 1 if there is none. */
    double lowestSlowness() {
        for (int band = 0; band < BAND_COUNT; band++) {
            if (capacityByBand[band] > 0) {
                return Math.exp((band - MIDDLE_BAND) * BAND_WIDTH);
            }
        }
        return 1;
    }

    /**
     * Returns whether a task is expected to finish much earlier if it waits for a back end that is faster than the
     * fastest free one.
     *
     * @param member the fastest free back end
     * @param tasksAhead the number of tasks that compete for the faster slots, this one included
     * @param margin the time until the task finishes at a faster back end must be below this fraction of its service
     *     time at the free one
     */
    boolean isWaitingFaster(PoolMember member, int tasksAhead, double margin) {
        double fasterRate = 0;
        int fasterCapacity = 0;
        for (int band = 0; band < member.band; band++) {
            if (capacityByBand[band] > 0) {
                fasterCapacity += capacityByBand[band];
                fasterRate += capacityByBand[band] / Math.exp((band - MIDDLE_BAND) * BAND_WIDTH);
            }
        }
        if (fasterCapacity == 0) {
            return false;
        }
        // Both sides are in units of the service time at mean speed. Each faster slot already runs one task.
        return (tasksAhead + fasterCapacity) / fasterRate < margin * member.slowness();
    }

    /**
     * Updates the totals and the sorted sets to the current state of a member's back end, which counts as slower while
     * a task there takes much longer than expected.
     */
    private void refresh(PoolMember member) {
        removeFromTotals(member);
        Backend backend = member.backend;
        double logSlowness = serviceTimes.logSlowness(member.observations, backend.overallSpeed())
                + Math.log(backend.overdueRatio());
        double bandOffset = logSlowness / BAND_WIDTH;
        member.band = (int) Math.max(0, Math.min(BAND_COUNT - 1, Math.round(bandOffset) + MIDDLE_BAND));
        member.isOnProbation = backend.isOnProbation();
        member.countedCapacity = member.isOnProbation ? 0 : backend.capacity();
        member.load = backend.load();
        member.isFree = backend.hasFreeSlot();
        member.isServing = backend.isServing();
        capacityByBand[member.band] += member.countedCapacity;
        totalCapacity += member.countedCapacity;
        servingBackends += member.isServing ? 1 : 0;
        member.servingSlots = member.isServing ? backend.upstream().slots() : 0;
        servingSlots += member.servingSlots;
        if (member.isFree && member.isOnProbation) {
            freeOnProbation.add(member);
        } else if (member.isFree) {
            freeByBand.get(member.band).add(member);
            freeBandBits |= 1L << member.band;
        }
    }

    private void leave(PoolMember member) {
        removeFromTotals(member);
        member.countedCapacity = 0;
        member.isFree = false;
        member.isServing = false;
        member.servingSlots = 0;
    }

    private void removeFromTotals(PoolMember member) {
        capacityByBand[member.band] -= member.countedCapacity;
        totalCapacity -= member.countedCapacity;
        servingBackends -= member.isServing ? 1 : 0;
        servingSlots -= member.servingSlots;
        if (member.isFree && member.isOnProbation) {
            freeOnProbation.remove(member);
        } else if (member.isFree) {
            NavigableSet<PoolMember> band = freeByBand.get(member.band);
            band.remove(member);
            if (band.isEmpty()) {
                freeBandBits &= ~(1L << member.band);
            }
        }
    }
}
