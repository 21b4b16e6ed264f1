package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.TaskIdentity;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests runs that have to be the only ones on an upstream; all times are virtual and in milliseconds. */
class ExclusiveRunTest {
    private static final long TASK_MILLISECONDS = 400;
    private static final Resources NEED = new Resources(1_600, 64, 0);

    private final SingleSidecar sidecar = new SingleSidecar(TASK_MILLISECONDS);
    private long sequence;

    private static RunIdentity run(int task) {
        return new RunIdentity(new TaskIdentity("job", 0, 0, task), 1);
    }

    private void dispatch(RunIdentity run, boolean exclusive) {
        sequence++;
        sidecar.controller()
                .handleFrame(
                        SingleSidecar.ENTRY,
                        new JobFrame.Dispatch(
                                sequence, run, "payload", NEED, 400, 5_000, 0, false, true, "queue", exclusive, 1));
        advance(5);
    }

    private void advance(long milliseconds) {
        sidecar.time().runUntil(sidecar.time().now() + milliseconds);
    }

    private Optional<String> refusalOf(RunIdentity run) {
        return sidecar.finalReportOn(run)
                .filter(report -> report.outcome() == RunOutcome.REFUSED)
                .map(JobFrame.Report::reason);
    }

    @Test
    void exclusiveRunWaitsForOthersAndKeepsThemAway() {
        dispatch(run(0), false);
        dispatch(run(1), true);
        dispatch(run(2), false);
        dispatch(run(3), true);
        assertEquals(Set.of(run(0)), sidecar.upstream().activeRuns());
        assertEquals(Optional.of("no-room"), refusalOf(run(2)));
        assertEquals(Optional.of("no-room"), refusalOf(run(3)));

        advance(TASK_MILLISECONDS);
        assertEquals(Set.of(run(1)), sidecar.upstream().activeRuns());
        dispatch(run(4), false);
        assertEquals(Optional.of("no-room"), refusalOf(run(4)));
    }

    /** Guards against a queued run that waits without an end because the upstream has become too small for it. */
    @Test
    void queuedRunIsReturnedWhenTheCapacityShrinksBelowItsNeed() {
        dispatch(run(0), false);
        dispatch(run(1), true);
        sidecar.upstream().setCapacity(new Resources(8_000, 32_768, 0));
        sidecar.announce();
        advance(5);

        assertEquals(Optional.of("larger-than-upstream"), refusalOf(run(1)));
        assertEquals(Set.of(run(0)), sidecar.upstream().activeRuns());
    }
}
