package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests late reports on runs that a later run of the same task has replaced; all times are virtual, in milliseconds.
 */
class StaleReportTest {
    /** Allows one failed run of a task; objective of 1.6 times the estimate plus 5,000 ms. */
    private static final QueuePolicy ONE_ATTEMPT = new QueuePolicy("queue", "host", "/q/", "service", 0, 1, 1.6, 5_000);

    private static final JobFrame.Hello LATE_SIDECAR =
            new JobFrame.Hello(ProcessRole.SIDECAR, "sidecar-9", "sidecar-9~1", /* zone= */ "");

    /** The first task takes 100 ms, the second one 1,000 ms. */
    private final SimulatedFleet fleet = new SimulatedFleet(1, 2, task -> 100 + 900L * task.index());

    private void submit() {
        fleet.submit(0, "job", SampleJobs.plan(2, /* durable= */ false), ONE_ATTEMPT);
        fleet.time().runUntil(fleet.time().now() + 50);
    }

    private RunIdentity activeRun(int index) {
        return List.of(fleet.upstream(0), fleet.upstream(1)).stream()
                .flatMap(upstream -> upstream.activeRuns().stream())
                .filter(run -> run.task().index() == index)
                .findFirst()
                .orElseThrow();
    }

    private void report(RunIdentity run, RunOutcome outcome, String reason) {
        fleet.loop("entry-0")
                .run(() -> fleet.entry(0)
                        .handleFrame(LATE_SIDECAR, new JobFrame.Report(run, outcome, 100, reason, Optional.empty())));
    }

    private void assertCompleted() {
        fleet.time().runUntil(fleet.time().now() + 2_000);
        assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(0, "job"));
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /** Guards against a job that is shown as failed because a run failed whose task is done by a later run. */
    @Test
    void failureOfAnEarlierRunCountsNoMoreOnceItsTaskIsDone() {
        submit();
        RunIdentity first = activeRun(0);
        fleet.time().runUntil(fleet.time().now() + 300);
        report(new RunIdentity(first.task(), first.number() - 1), RunOutcome.FAILED, "");
        assertCompleted();
    }

    /** Guards against a job that is shown as failed for crashes under earlier runs while a sound run is active. */
    @Test
    void crashesUnderEarlierRunsFailNoJobWhileALaterRunIsActive() {
        submit();
        RunIdentity current = activeRun(1);
        for (int earlier = 6; earlier > 0; earlier--) {
            report(
                    new RunIdentity(current.task(), current.number() - earlier),
                    RunOutcome.LAPSED,
                    JobFrame.Report.UPSTREAM_CRASHED);
        }
        assertCompleted();
    }

    /** The sidecar was out of touch, so the entry has given the run up and sent its task again. */
    @ParameterizedTest
    @EnumSource(
            value = RunOutcome.class,
            names = {"QUEUED", "RUNNING"})
    void runThatALaterOneHasReplacedIsStopped(RunOutcome outcome) {
        submit();
        RunIdentity current = activeRun(1);
        RunIdentity earlier = new RunIdentity(current.task(), current.number() - 1);
        report(earlier, outcome, "");
        report(current, outcome, "");
        report(new RunIdentity(current.task(), current.number() + 1), outcome, "");
        List<String> withdrawn = fleet.loop("entry-0").logLines().stream()
                .filter(line -> line.contains(" withdrawn "))
                .toList();
        assertEquals(1, withdrawn.size(), withdrawn::toString);
        assertTrue(withdrawn.getFirst().contains("run " + earlier + " "), withdrawn::toString);
        assertCompleted();
    }

    @Test
    void runOfATaskThatIsDoneIsStopped() {
        submit();
        RunIdentity first = activeRun(0);
        fleet.time().runUntil(fleet.time().now() + 300);
        report(new RunIdentity(first.task(), first.number() + 1), RunOutcome.RUNNING, "");
        String lines = String.join("\n", fleet.loop("entry-0").logLines());
        assertTrue(lines.contains(" withdrawn run " + first.task() + "#" + (first.number() + 1) + " "), lines);
        assertCompleted();
    }
}
