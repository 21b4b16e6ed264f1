package io.caperturn.core.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Back ends that serve one kind, by speed.
 *
 * <p>Back ends of similar speed share a band, and within a band the least loaded comes first, so a choice costs the
 * logarithm of their number.
 */
final class KindPool {
    private static final int BANDS = 41;
    private static final int MIDDLE = BANDS / 2;
    private static final double BAND_WIDTH = Math.log(1.2);
    private static final Comparator<Seat> ORDER =
            Comparator.comparingDouble((Seat seat) -> seat.load).thenComparingInt(seat -> seat.backend.sequence());

    private final SpeedModel speeds;
    private final List<NavigableSet<Seat>> free = new ArrayList<>();
    private final NavigableSet<Seat> probes = new TreeSet<>(ORDER);
    private final int[] slots = new int[BANDS];
    private long bandsWithFree;
    private int serving;
    private int totalSlots;
    private int servingSlots;

    KindPool(SpeedModel speeds) {
        this.speeds = speeds;
        for (int band = 0; band < BANDS; band++) {
            free.add(new TreeSet<>(ORDER));
        }
    }

    /** Place of a back end in the pool of one kind. */
    static final class Seat {
        private final KindState kind;
        private final KindPool pool;
        private final Backend backend;
        private final SpeedModel.Observed observed = new SpeedModel.Observed();
        private int band = MIDDLE;
        private int counted;
        private int servingSlots;
        private double load;
        private boolean isFree;
        private boolean isServing;
        private boolean isProbe;

        Seat(KindState kind, Backend backend) {
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

        SpeedModel.Observed observed() {
            return observed;
        }

        /** Returns the factor by which tasks take longer here than at a back end of mean speed. */
        double slowness() {
            return Math.exp((band - MIDDLE) * BAND_WIDTH);
        }

        void refresh() {
            pool.refresh(this);
        }

        void leave() {
            pool.leave(this);
        }
    }

    int serving() {
        return serving;
    }

    int totalSlots() {
        return totalSlots;
    }

    /** Returns the slots of the back ends that serve the kind, whatever windows leave of them now. */
    int servingSlots() {
        return servingSlots;
    }

    boolean hasFree() {
        return bandsWithFree != 0 || !probes.isEmpty();
    }

    /** Returns a back end on probation that may take a task; after the patience any task will do. */
    Optional<Seat> findProbe(boolean idempotent, long patience, long now) {
        for (Seat seat : probes) {
            long earliest = seat.backend.ejectedUntil() + (idempotent ? 0 : patience);
            if (now >= earliest) {
                return Optional.of(seat);
            }
        }
        return Optional.empty();
    }

    Optional<Seat> fastestFree() {
        if (bandsWithFree == 0) {
            return Optional.empty();
        }
        return Optional.of(free.get(Long.numberOfTrailingZeros(bandsWithFree)).first());
    }

    /** Returns the factor by which tasks take longer than at mean speed at the fastest back end that has slots. */
    double fastestSlowness() {
        for (int band = 0; band < BANDS; band++) {
            if (slots[band] > 0) {
                return Math.exp((band - MIDDLE) * BAND_WIDTH);
            }
        }
        return 1;
    }

    /**
     * Tells whether a task does better to wait for a faster back end than to take a free one.
     *
     * @param seat the fastest free one
     * @param ahead how many tasks want the faster slots too, this one included
     * @param margin part of the time at the free one that the wait and the faster run must stay below
     */
    boolean waitingPays(Seat seat, int ahead, double margin) {
        double rate = 0;
        int fasterSlots = 0;
        for (int band = 0; band < seat.band; band++) {
            if (slots[band] > 0) {
                fasterSlots += slots[band];
                rate += slots[band] / Math.exp((band - MIDDLE) * BAND_WIDTH);
            }
        }
        if (fasterSlots == 0) {
            return false;
        }
        return (ahead + fasterSlots) / rate < margin * seat.slowness();
    }

    private void refresh(Seat seat) {
        withdraw(seat);
        Backend backend = seat.backend;
        double slowness = speeds.slowness(seat.observed, backend.speed()) + Math.log(backend.overdueFactor());
        double position = slowness / BAND_WIDTH;
        seat.band = (int) Math.max(0, Math.min(BANDS - 1, Math.round(position) + MIDDLE));
        seat.isProbe = backend.probing();
        seat.counted = seat.isProbe ? 0 : backend.capacity();
        seat.load = backend.load();
        seat.isFree = backend.hasFreeSlot();
        seat.isServing = backend.serving();
        slots[seat.band] += seat.counted;
        totalSlots += seat.counted;
        serving += seat.isServing ? 1 : 0;
        seat.servingSlots = seat.isServing ? backend.upstream().slots() : 0;
        servingSlots += seat.servingSlots;
        if (seat.isFree && seat.isProbe) {
            probes.add(seat);
        } else if (seat.isFree) {
            free.get(seat.band).add(seat);
            bandsWithFree |= 1L << seat.band;
        }
    }

    private void leave(Seat seat) {
        withdraw(seat);
        seat.counted = 0;
        seat.isFree = false;
        seat.isServing = false;
        seat.servingSlots = 0;
    }

    private void withdraw(Seat seat) {
        slots[seat.band] -= seat.counted;
        totalSlots -= seat.counted;
        serving -= seat.isServing ? 1 : 0;
        servingSlots -= seat.servingSlots;
        if (seat.isFree && seat.isProbe) {
            probes.remove(seat);
        } else if (seat.isFree) {
            NavigableSet<Seat> band = free.get(seat.band);
            band.remove(seat);
            if (band.isEmpty()) {
                bandsWithFree &= ~(1L << seat.band);
            }
        }
    }
}
