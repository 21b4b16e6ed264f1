package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** What callers get from the first entry that is back after all processes were lost, before any upstream is. */
class RestartLoadTest {
    private static final QueuePolicy QUEUE = new QueuePolicy("queue", "host", "/q/", "service", 0, 2, 1.6, 60);
    private static final int SIDECARS = 3;
    private static final long WORK_MILLISECONDS = 300;
    private static final long OBJECTIVE_MILLISECONDS = 540;
    /** Multiple of the objective after which nobody waits any more. */
    private static final long LATE_FACTOR = 3;
    /** A refusal is at once: within a few round trips. */
    private static final long AT_ONCE_MILLISECONDS = 20;
    /** Time after the first entry's return for which jobs come; most upstreams are back then, as on the users' days. */
    private static final long GAP_MILLISECONDS = 400;

    /** The upstreams come back at once after a gap, or one by one. */
    @ParameterizedTest
    @CsvSource({"2, 400, 0", "5, 400, 0", "20, 400, 0", "2, 0, 200", "5, 0, 200", "5, 100, 150"})
    void noJobIsHeldThatCannotBeServed(int millisecondsBetweenJobs, int firstSidecar, int betweenSidecars) {
        SimulatedFleet fleet = new SimulatedFleet(2, SIDECARS, task -> WORK_MILLISECONDS);
        loseEverything(fleet);
        fleet.restart("entry-0");
        fleet.time().runUntil(fleet.time().now() + 50);
        Callers callers = new Callers(fleet);
        for (int millisecond = 0; millisecond < GAP_MILLISECONDS + 5_000; millisecond++) {
            if (millisecond < GAP_MILLISECONDS && millisecond % millisecondsBetweenJobs == 0) {
                callers.submit(0, "job-" + millisecond, SimulatedFleet.plan(4, false, WORK_MILLISECONDS), QUEUE);
            }
            for (int number = 0; number < SIDECARS; number++) {
                if (millisecond == firstSidecar + number * betweenSidecars) {
                    fleet.restart("sidecar-" + number);
                }
            }
            callers.pass();
        }
        for (Callers.Caller caller : callers.all()) {
            assertEquals(1, caller.answers().size(), "each is answered once");
            long took = caller.took();
            if (caller.answers().getFirst() instanceof CallerAnswers.Submission.Refused) {
                assertTrue(took <= AT_ONCE_MILLISECONDS, "refused at once");
            } else {
                assertEquals(
                        new CallerAnswers.Submission.Finished(JobState.COMPLETED),
                        caller.answers().getFirst());
                assertTrue(took <= LATE_FACTOR * OBJECTIVE_MILLISECONDS, () -> "took " + took);
            }
        }
        assertTrue(
                callers.all().stream()
                        .anyMatch(caller -> caller.answers().getFirst() instanceof CallerAnswers.Submission.Finished),
                "what can be served is");
    }

    private static void loseEverything(SimulatedFleet fleet) {
        IntStream.range(0, SIDECARS).forEach(number -> {
            fleet.kill("sidecar-" + number);
            fleet.upstream(number).rebirth();
        });
        fleet.kill("entry-0");
        fleet.kill("entry-1");
        fleet.time().runUntil(fleet.time().now() + 1_500);
    }
}
