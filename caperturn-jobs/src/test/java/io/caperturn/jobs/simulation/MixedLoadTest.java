package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What callers of the users' three kinds of work get in time, weighed by what it is worth to them. */
class MixedLoadTest {
    /** Four upstreams, of which one is half as fast. */
    private static final double[] FOUR = {0.55, 1.2, 1.2, 1.2};
    /** As many upstreams as the users' laboratory has. */
    private static final double[] ELEVEN = {0.55, 1.2, 1.2, 1.2, 1, 1, 1, 0.9, 0.9, 1.1, 1.1};

    /** Target of the users for their usual load, as a share of what is owed. */
    private static final double USUAL_TARGET = 0.9;
    /** Target beyond it, as a share of what the upstreams can do at all; the same as for work of one kind. */
    private static final double OVERLOAD_TARGET = 0.7;
    /** Load at which all four upstreams are busy all the time. */
    private static final double CAPACITY_LOAD = 1.44;
    /** Load at which eleven upstreams are busy for nine tenths of the time. */
    private static final double NINETY_PERCENT_LOAD = 3.4;
    /** Wait at a sidecar beside which a round trip to its entry, and from there to another sidecar, is short. */
    private static final long LONG_WAIT_MILLISECONDS = 25;

    @ParameterizedTest
    @CsvSource({"0.9, 1", "1.2, 2", "1.6, 3", "2.4, 4"})
    void worthIsServedInTime(double load, long seed) {
        MixedLoad mixed = new MixedLoad(2, FOUR);
        mixed.play(load, seed);

        double least = load <= 1 ? USUAL_TARGET : OVERLOAD_TARGET * Math.min(1, CAPACITY_LOAD / load);
        double earned = mixed.earnedShare(kind -> true);
        assertTrue(earned >= least, () -> "load " + load + ": " + earned + " of what is owed");
        for (MixedLoad.Caller caller : mixed.callers()) {
            assertEquals(1, caller.call().answers().size(), "each is answered once");
        }
        assertEquals(List.of(), mixed.fleet().record().breaches());
    }

    /** Several entries see the same free room; a task that comes second must not wait there while others have room. */
    @ParameterizedTest
    @CsvSource({"5", "15", "25"})
    void urgentWorkOfFourEntriesDoesNotWaitForRoomThatOthersTook(long seed) {
        MixedLoad mixed = new MixedLoad(4, ELEVEN);
        mixed.play(NINETY_PERCENT_LOAD, seed);

        double urgent = mixed.earnedShare(MixedLoad.CHECK::equals);
        assertTrue(urgent >= USUAL_TARGET, () -> urgent + " of what is owed to urgent work");
        long waitedLong = mixed.fleet().waitsAtSidecars().stream()
                .filter(wait -> wait > LONG_WAIT_MILLISECONDS)
                .count();
        assertEquals(0, waitedLong, "runs that waited at a sidecar");
        assertEquals(List.of(), mixed.fleet().record().breaches());
    }
}
