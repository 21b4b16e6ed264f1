package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests the value that jobs earn while every upstream leaves a part of its orders unanswered, and executes these
 * seconds later. Each job has up to eight tasks, so that it soon meets such an order; and a hold, by which a sidecar
 * process learns of completions, must not stay unanswered for long.
 */
class LostAnswersTest {
    private static final double[] SPEEDS = {0.55, 1.2, 1.2, 1.2, 1, 1, 1, 0.9, 0.9, 1.1, 1.1};
    /** Target of the users on days with trouble, as a fraction of the possible value. */
    private static final double TARGET = 0.9;
    /** Load at which about three quarters of the capacity are used. */
    private static final double USUAL_LOAD = 2.4;

    @ParameterizedTest
    @CsvSource({"0.055, 1", "0.055, 2", "0.02, 3"})
    void jobsCompleteOnTimeAlthoughOrdersStayUnanswered(double unansweredShare, long seed) {
        MixedLoad mixed = new MixedLoad(4, SPEEDS);
        for (int number = 0; number < SPEEDS.length; number++) {
            mixed.fleet().upstream(number).unansweredOrders().leaveUnanswered(unansweredShare, seed + number);
        }
        mixed.run(USUAL_LOAD, seed);

        double earned = mixed.earnedFraction(kind -> true);
        assertTrue(earned >= TARGET, () -> earned + " of the possible value");
        for (MixedLoad.SubmittedJob job : mixed.submittedJobs()) {
            assertEquals(1, job.caller().answers().size(), "each caller is answered exactly once");
        }
        assertEquals(List.of(), mixed.fleet().recordOfStarts().violations());
    }
}
