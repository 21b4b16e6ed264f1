package io.caperturn.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Back ends that serve one kind, grouped by speed.
 *
 * <p>Back ends of similar speed form a band, and the free ones of a band are sorted by load. Finding the fastest free
 * back end therefore takes time logarithmic in the number of back ends. Back ends on probation are kept apart.
 */
final class KindPool {
    /** At most 64, because the free bands are kept as the bits of a long. */
    private static final int BANDS = 41;

    private static final int MIDDLE_BAND = BANDS / 2;

    /** Width of a band as a logarithm: service times within one band differ by up to 20 percent. */
    private static final double BAND_WIDTH = Math.log(1.2);

    private static final Comparator<PoolMember> BY_LOAD = Comparator.comparingDouble((PoolMember member) -> member.load)
            .thenComparingInt(member -> member.backend.sequence());

    private final ServiceTimeModel serviceTimes;
    private final List<NavigableSet<PoolMember>> freeByBand = new ArrayList<>();
    private final NavigableSet<PoolMember> freeOnProbation = new TreeSet<>(BY_LOAD);
    private final int[] slotsByBand = new int[BANDS];
    /** Bit set of the bands that have a free back end; the lowest bit stands for the fastest band. */
    private long freeBandBits;

    private int servingBackends;
    private int totalSlots;
    private int servingSlots;

    KindPool(ServiceTimeModel serviceTimes) {
        this.serviceTimes = serviceTimes;
        for (int band = 0; band < BANDS; band++) {
            freeByBand.add(new TreeSet<>(BY_LOAD));
        }
    }

    /** Membership of a back end in the pool of one kind, with its speed for that kind. */
    static final class PoolMember {
        private final KindState kind;
        private final KindPool pool;
        private final Backend backend;
        private final ServiceTimeModel.BackendObservations observations = new ServiceTimeModel.BackendObservations();
        private int band = MIDDLE_BAND;
        /** The capacity that the totals of the pool include for this member. */
        private int countedSlots;
        /** The slots that {@link KindPool#servingSlots} includes for this member. */
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

        /** Returns the ratio of service times here to those at a back end of mean speed. */
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

    /** Returns the total capacity of the back ends that are not on probation. */
    int totalSlots() {
        return totalSlots;
    }

    /** Returns the total slots of the back ends that serve the kind, regardless of their windows. */
    int servingSlots() {
        return servingSlots;
    }

    boolean hasFreeBackend() {
        return freeBandBits != 0 || !freeOnProbation.isEmpty();
    }

    /**
     * Returns a free back end on probation that may get a task. A task that is not idempotent is allowed there only
     * after a further delay, in nanoseconds.
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

    /** Returns the slowness of the fastest band with capacity, 1 if there is none; see {@link PoolMember#slowness}. */
    double lowestSlowness() {
        for (int band = 0; band < BANDS; band++) {
            if (slotsByBand[band] > 0) {
                return Math.exp((band - MIDDLE_BAND) * BAND_WIDTH);
            }
        }
        return 1;
    }

    /**
     * Returns whether a task is expected to finish earlier if it waits for a faster back end than at a free one.
     *
     * @param member the fastest free back end
     * @param tasksAhead the number of tasks that compete for the faster slots, this one included
     * @param margin the fraction of the time at the free back end that the time at a faster one, waiting included, must
     *     stay below
     */
    boolean isWaitingFaster(PoolMember member, int tasksAhead, double margin) {
        double fasterRate = 0;
        int fasterSlots = 0;
        for (int band = 0; band < member.band; band++) {
            if (slotsByBand[band] > 0) {
                fasterSlots += slotsByBand[band];
                fasterRate += slotsByBand[band] / Math.exp((band - MIDDLE_BAND) * BAND_WIDTH);
            }
        }
        if (fasterSlots == 0) {
            return false;
        }
        // In units of the service time at mean speed; one task already runs in each of the faster slots.
        return (tasksAhead + fasterSlots) / fasterRate < margin * member.slowness();
    }

    /** Takes over the current state of a member's back end into the totals and the sorted sets. */
    private void refresh(PoolMember member) {
        removeFromTotals(member);
        Backend backend = member.backend;
        double logSlowness = serviceTimes.logSlowness(member.observations, backend.overallSpeed())
                + Math.log(backend.overdueRatio());
        double position = logSlowness / BAND_WIDTH;
        member.band = (int) Math.max(0, Math.min(BANDS - 1, Math.round(position) + MIDDLE_BAND));
        member.isOnProbation = backend.isOnProbation();
        member.countedSlots = member.isOnProbation ? 0 : backend.capacity();
        member.load = backend.load();
        member.isFree = backend.hasFreeSlot();
        member.isServing = backend.isServing();
        slotsByBand[member.band] += member.countedSlots;
        totalSlots += member.countedSlots;
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
        member.countedSlots = 0;
        member.isFree = false;
        member.isServing = false;
        member.servingSlots = 0;
    }

    private void removeFromTotals(PoolMember member) {
        slotsByBand[member.band] -= member.countedSlots;
        totalSlots -= member.countedSlots;
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
