package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests upstreams that are ejected because tasks of several jobs failed there; all times are virtual and in
 * milliseconds.
 */
class EjectedUpstreamsTest {
    private static final int SIDECARS = 3;
    private static final int FAILING_JOBS = 10;
    /** Time after the end of the traffic at which all jobs must have ended. */
    private static final long FINISH_MILLISECONDS = 14_000;

    private final SimulatedFleet fleet = new SimulatedFleet(1, SIDECARS, task -> 100);

    private static QueuePolicy queue(int maximumAttempts) {
        return new QueuePolicy("queue", "host", "/q/", "service", 0, maximumAttempts, 1.6, 60_000);
    }

    private void advance(long milliseconds) {
        fleet.time().runUntil(fleet.time().now() + milliseconds);
    }

    /** Makes all runs of some jobs fail, and the first run of a task of the others whose names begin with "unlucky". */
    private void setFailingRuns() {
        for (int number = 0; number < SIDECARS; number++) {
            fleet.upstream(number)
                    .setOutcomes(run -> run.task().job().startsWith("failing")
                                    || run.task().job().startsWith("unlucky") && run.number() % 1_000 == 1
                            ? RunOutcome.FAILED
                            : RunOutcome.DONE);
        }
    }

    private void submitFailingJobs(int maximumAttempts) {
        setFailingRuns();
        for (int number = 0; number < FAILING_JOBS; number++) {
            fleet.submit(0, "failing" + number, SampleJobs.plan(1, /* durable= */ true, 100), queue(maximumAttempts));
            advance(10);
        }
    }

    /** Guards against jobs that neither run nor fail because all upstreams wait for a probe that no task may be. */
    @ParameterizedTest
    @CsvSource({"1, 20", "2, 0", "2, 20", "3, 0"})
    void allJobsEndAfterFailuresOnAllUpstreamsAlsoWithoutNewTraffic(int maximumAttempts, int soundJobs) {
        submitFailingJobs(maximumAttempts);
        advance(2_000);
        fleet.submit(0, "unlucky", SampleJobs.plan(1, /* durable= */ true, 100), queue(maximumAttempts));
        for (int number = 0; number < soundJobs; number++) {
            fleet.submit(0, "sound" + number, SampleJobs.plan(1, /* durable= */ true, 100), queue(maximumAttempts));
        }
        advance(FINISH_MILLISECONDS);

        for (int number = 0; number < FAILING_JOBS; number++) {
            assertEquals(new CallerAnswers.Lookup.Found(JobState.FAILED), fleet.lookUp(0, "failing" + number));
        }
        for (int number = 0; number < soundJobs; number++) {
            assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(0, "sound" + number));
        }
        assertEquals(
                new CallerAnswers.Lookup.Found(maximumAttempts == 1 ? JobState.FAILED : JobState.COMPLETED),
                fleet.lookUp(0, "unlucky"));
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /**
     * Guards against idle upstreams on probation beside a sound one that is full of tasks before their last attempt.
     */
    @ParameterizedTest
    @CsvSource({"1, 4000", "2, 4000"})
    void tasksBeforeTheirLastAttemptUseUpstreamsOnProbationSoonIfTheSoundOneIsFull(int attempts, long milliseconds) {
        setFailingRuns();
        fleet.loop("sidecar-0").run(() -> fleet.sidecar(0).leave());
        submitFailingJobs(attempts);
        advance(500);
        fleet.kill("sidecar-0");
        fleet.restart("sidecar-0");
        advance(1_000);
        for (int number = 0; number < 60; number++) {
            fleet.submit(0, "sound" + number, SampleJobs.plan(8, /* durable= */ true, 100), queue(1));
        }
        advance(milliseconds);
        for (int number = 1; number < SIDECARS; number++) {
            int sidecar = number;
            long placed = fleet.loop("entry-0").logLines().stream()
                    .filter(line ->
                            line.contains(" placed run sound") && line.contains(" node sidecar-" + sidecar + " "))
                    .count();
            assertTrue(placed > 0, () -> "no task was sent to sidecar-" + sidecar);
        }
    }

    /** Guards against an upstream that gets no task any more because the caller of its probe has gone. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void upstreamIsUsedAgainAfterTheJobOfItsProbeWasGivenUp(boolean linkLost) {
        SimulatedFleet single = new SimulatedFleet(1, 1, task -> task.job().equals("probe") ? 5_000 : 100);
        single.upstream(0)
                .setOutcomes(run -> run.task().job().startsWith("failing") ? RunOutcome.FAILED : RunOutcome.DONE);
        for (int number = 0; number < 3; number++) {
            single.submit(0, "failing" + number, SampleJobs.plan(1, /* durable= */ true, 100), queue(1));
        }
        single.time().runUntil(single.time().now() + 2_500);
        single.submit(0, "probe", SampleJobs.plan(1, /* durable= */ false, 5_000), queue(3));
        single.time().runUntil(single.time().now() + 100);
        assertEquals(1, single.upstream(0).activeRunCount());
        if (linkLost) {
            single.closeLinksBriefly("sidecar-0");
        }
        single.loop("entry-0").run(() -> single.entry(0).abandon("probe", "caller-gone"));
        single.time().runUntil(single.time().now() + 100);
        single.submit(0, "sound", SampleJobs.plan(1, /* durable= */ true, 100), queue(3));
        single.time().runUntil(single.time().now() + FINISH_MILLISECONDS);

        assertTrue(single.recordOfStarts().hasSucceeded(new TaskIdentity("sound", 0, 0, 0)), single::logLines);
        assertEquals(List.of(), single.recordOfStarts().overlaps());
    }
}
