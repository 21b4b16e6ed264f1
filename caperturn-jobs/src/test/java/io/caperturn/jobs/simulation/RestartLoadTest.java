package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the answers of the first entry that restarts after a loss of all processes, before any sidecar restarts. */
class RestartLoadTest {
    private static final QueuePolicy QUEUE = new QueuePolicy("queue", "host", "/q/", "service", 0, 2, 1.6, 60);
    private static final int SIDECARS = 3;
    private static final long TASK_MILLISECONDS = 300;
    /** Maximum duration of a job on time, by the policy of the queue: 1.6 times the task duration, plus 60 ms. */
    private static final long OBJECTIVE_MILLISECONDS = 540;
    /** Multiple of the objective after which no caller waits any more. */
    private static final long LATE_FACTOR = 3;
    /** Maximum time to a refusal: a few round trips. */
    private static final long MAX_REFUSAL_MILLISECONDS = 20;
    /**
     * Time after the restart of the first entry during which jobs arrive; by its end most upstreams are available
     * again, as at the users.
     */
    private static final long ARRIVAL_MILLISECONDS = 400;

    /** The sidecars restart all at once after a delay, or one by one. */
    @ParameterizedTest
    @CsvSource({"2, 400, 0", "5, 400, 0", "20, 400, 0", "2, 0, 200", "5, 0, 200", "5, 100, 150"})
    void noJobIsAcceptedThatCannotCompleteInTime(
            int millisecondsBetweenJobs, int firstSidecarMillisecond, int millisecondsBetweenSidecars) {
        SimulatedFleet fleet = new SimulatedFleet(2, SIDECARS, task -> TASK_MILLISECONDS);
        killAllProcesses(fleet);
        fleet.restart("entry-0");
        fleet.time().runUntil(fleet.time().now() + 50);
        Callers callers = new Callers(fleet);
        for (int millisecond = 0; millisecond < ARRIVAL_MILLISECONDS + 5_000; millisecond++) {
            if (millisecond < ARRIVAL_MILLISECONDS && millisecond % millisecondsBetweenJobs == 0) {
                callers.submit(0, "job-" + millisecond, SimulatedFleet.plan(4, false, TASK_MILLISECONDS), QUEUE);
            }
            for (int number = 0; number < SIDECARS; number++) {
                if (millisecond == firstSidecarMillisecond + number * millisecondsBetweenSidecars) {
                    fleet.restart("sidecar-" + number);
                }
            }
            callers.advance();
        }
        for (Callers.Caller caller : callers.all()) {
            assertEquals(1, caller.answers().size(), "each caller is answered exactly once");
            long took = caller.answerMilliseconds();
            if (caller.answers().getFirst() instanceof CallerAnswers.Submission.Refused) {
                assertTrue(took <= MAX_REFUSAL_MILLISECONDS, "refused at once");
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
                "no job was completed");
    }

    /** Kills all processes, and restarts the upstreams without any state. */
    private static void killAllProcesses(SimulatedFleet fleet) {
        IntStream.range(0, SIDECARS).forEach(number -> {
            fleet.kill("sidecar-" + number);
            fleet.upstream(number).restart();
        });
        fleet.kill("entry-0");
        fleet.kill("entry-1");
        fleet.time().runUntil(fleet.time().now() + 1_500);
    }
}
