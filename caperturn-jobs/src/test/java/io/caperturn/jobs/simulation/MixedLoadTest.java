package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the value that jobs of the users' three kinds earn; a job earns its full value only if it is on time. */
class MixedLoadTest {
    /** Relative speeds of four upstreams, one of which is half as fast as the others. */
    private static final double[] FOUR_UPSTREAM_SPEEDS = {0.55, 1.2, 1.2, 1.2};
    /** Relative speeds of eleven upstreams, as many as the users have. */
    private static final double[] ELEVEN_UPSTREAM_SPEEDS = {0.55, 1.2, 1.2, 1.2, 1, 1, 1, 0.9, 0.9, 1.1, 1.1};

    /** Target of the users at their usual load, as a fraction of the possible value. */
    private static final double USUAL_TARGET = 0.9;
    /**
     * Target beyond the usual load, as a fraction of the maximum value that the upstreams can earn; the same as in
     * tests with a single kind of job.
     */
    private static final double OVERLOAD_TARGET = 0.7;
    /** Load, as a multiple of the usual arrival rates, at which all four upstreams are always busy. */
    private static final double SATURATING_LOAD = 1.44;
    /** Load at which eleven upstreams are busy for nine tenths of the time. */
    private static final double NINETY_PERCENT_LOAD = 3.4;
    /**
     * Minimum wait at a sidecar process that is longer than moving a task through its entry process to another sidecar
     * would take.
     */
    private static final long LONG_WAIT_MILLISECONDS = 25;

    @ParameterizedTest
    @CsvSource({"0.9, 1", "1.2, 2", "1.6, 3", "2.4, 4"})
    void earnedShareMeetsTheTarget(double load, long seed) {
        MixedLoad mixed = new MixedLoad(2, FOUR_UPSTREAM_SPEEDS);
        mixed.run(load, seed);

        double minimum = load <= 1 ? USUAL_TARGET : OVERLOAD_TARGET * Math.min(1, SATURATING_LOAD / load);
        double earned = mixed.earnedFraction(kind -> true);
        assertTrue(earned >= minimum, () -> "load " + load + ": " + earned + " of the possible value");
        for (MixedLoad.SubmittedJob job : mixed.submittedJobs()) {
            assertEquals(1, job.caller().answers().size(), "each caller is answered exactly once");
        }
        assertEquals(List.of(), mixed.fleet().recordOfStarts().violations());
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

        double urgent = mixed.earnedFraction(MixedLoad.CHECK::equals);
        assertTrue(urgent >= USUAL_TARGET, () -> urgent + " of the possible value of urgent work");
        long longWaits = mixed.fleet().sidecarWaits().stream()
                .filter(wait -> wait > LONG_WAIT_MILLISECONDS)
                .count();
        assertEquals(0, longWaits, "runs that waited at a sidecar");
        assertEquals(List.of(), mixed.fleet().recordOfStarts().violations());
    }
}
