package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the value earned by jobs of the users' three kinds, most of it by jobs that complete on time. */
class MixedLoadTest {
    /** Relative speeds of four upstreams, one of which is half as fast as the others. */
    private static final double[] FOUR_UPSTREAM_SPEEDS = {0.55, 1.2, 1.2, 1.2};
    /** Relative speeds of as many upstreams as the users' laboratory has. */
    private static final double[] ELEVEN_UPSTREAM_SPEEDS = {0.55, 1.2, 1.2, 1.2, 1, 1, 1, 0.9, 0.9, 1.1, 1.1};

    /** Target of the users at their usual load, as a share of the possible value. */
    private static final double USUAL_TARGET = 0.9;
    /** Target beyond the usual load, as a share of what the upstreams can do; the same as for work of one kind. */
    private static final double OVERLOAD_TARGET = 0.7;
    /** Load at which all four upstreams are always busy. */
    private static final double SATURATING_LOAD = 1.44;
    /** Load at which eleven upstreams are busy for nine tenths of the time. */
    private static final double NINETY_PERCENT_LOAD = 3.4;
    /** Wait at a sidecar that is long compared with a round trip to its entry and from there to another sidecar. */
    private static final long LONG_WAIT_MILLISECONDS = 25;

    @ParameterizedTest
    @CsvSource({"0.9, 1", "1.2, 2", "1.6, 3", "2.4, 4"})
    void earnedShareMeetsTheTarget(double load, long seed) {
        MixedLoad mixed = new MixedLoad(2, FOUR_UPSTREAM_SPEEDS);
        mixed.run(load, seed);

        double minimum = load <= 1 ? USUAL_TARGET : OVERLOAD_TARGET * Math.min(1, SATURATING_LOAD / load);
        double earned = mixed.earnedShare(kind -> true);
        assertTrue(earned >= minimum, () -> "load " + load + ": " + earned + " of the possible value");
        for (MixedLoad.Caller caller : mixed.callers()) {
            assertEquals(1, caller.call().answers().size(), "each caller is answered exactly once");
        }
        assertEquals(List.of(), mixed.fleet().record().violations());
    }

    /**
     * Several entries may choose the same free capacity at once; the task that arrives second must not wait at that
     * sidecar while other upstreams have free capacity.
     */
    @ParameterizedTest
    @CsvSource({"5", "15", "25"})
    void urgentTasksOfFourEntriesDoNotWaitForCapacityThatOthersUse(long seed) {
        MixedLoad mixed = new MixedLoad(4, ELEVEN_UPSTREAM_SPEEDS);
        mixed.run(NINETY_PERCENT_LOAD, seed);

        double urgent = mixed.earnedShare(MixedLoad.CHECK::equals);
        assertTrue(urgent >= USUAL_TARGET, () -> urgent + " of the possible value of urgent work");
        long longWaits = mixed.fleet().sidecarWaits().stream()
                .filter(wait -> wait > LONG_WAIT_MILLISECONDS)
                .count();
        assertEquals(0, longWaits, "runs that waited at a sidecar");
        assertEquals(List.of(), mixed.fleet().record().violations());
    }
}
