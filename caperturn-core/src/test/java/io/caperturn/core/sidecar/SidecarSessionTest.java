package io.caperturn.core.sidecar;

import static io.caperturn.core.sidecar.SidecarScenario.FIRST_ENTRY;
import static io.caperturn.core.sidecar.SidecarScenario.JOB;
import static io.caperturn.core.sidecar.SidecarScenario.SECOND_ENTRY;
import static io.caperturn.core.sidecar.SidecarScenario.attempt;

import java.time.Duration;
import java.util.List;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;
import org.junit.jupiter.api.Test;

/**
 * Runs whole sessions of a sidecar (the process that starts tasks at an upstream) in virtual time, and compares the
 * transcript of its events and commands with the approved files.
 *
 * <p>The arguments of {@link SidecarScenario#attempt} are the task, the fencing token and the attempt number. The
 * demand in a dispatch is the number of tasks that wait at the entry process.
 */
class SidecarSessionTest {
    private static final Duration STEP = Duration.ofMillis(50);

    private final SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(2);

    @Test
    void normalJob() {
        scenario.dispatchWithDemand(FIRST_ENTRY, 4, attempt(1, 1, 1), attempt(2, 1, 1));
        advanceStep();
        scenario.dispatchWithDemand(FIRST_ENTRY, 2, attempt(3, 1, 1), attempt(4, 1, 1));
        completeEach(1, 2);
        scenario.dispatchWithDemand(FIRST_ENTRY, 0, attempt(5, 1, 1), attempt(6, 1, 1));
        completeEach(3, 4, 5, 6);
        scenario.advanceAndAnnounceSlots(SidecarScenario.LEDGER_RETENTION.plus(STEP), 2);
        verify();
    }

    @Test
    void duplicateDispatch() {
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 3);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 3);
        advanceStep();
        scenario.dispatch(SECOND_ENTRY, attempt(1, 1, 2));
        completeEach(1, 2, 3);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 3);
        verify();
    }

    @Test
    void resolveAfterLostLink() {
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 3);
        scenario.send(new SidecarEvent.EntryLost(FIRST_ENTRY));
        completeEach(1);
        scenario.send(new SidecarEvent.EntryLinked(FIRST_ENTRY));
        scenario.resolve(FIRST_ENTRY, attempt(1, 1, 1));
        scenario.resolve(FIRST_ENTRY, attempt(2, 1, 1));
        scenario.resolve(FIRST_ENTRY, attempt(3, 1, 1));
        scenario.resolve(FIRST_ENTRY, attempt(4, 1, 1));
        scenario.dispatch(FIRST_ENTRY, attempt(4, 1, 1));
        scenario.dispatch(FIRST_ENTRY, attempt(4, 1, 2));
        completeEach(2, 3);
        verify();
    }

    @Test
    void fenceByAdopter() {
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 4);
        completeEach(1);
        scenario.send(new SidecarEvent.EntryLost(FIRST_ENTRY));
        scenario.send(new SidecarEvent.FenceReceived(SECOND_ENTRY, JOB, /* fence= */ 2));
        scenario.dispatch(SECOND_ENTRY, attempt(4, 2, 1), attempt(5, 2, 1));
        scenario.send(new SidecarEvent.EntryLinked(FIRST_ENTRY));
        scenario.dispatch(FIRST_ENTRY, attempt(4, 1, 2), attempt(6, 1, 1));
        completeEach(2, 3);
        scenario.completeRun(attempt(4, 2, 1));
        scenario.completeRun(attempt(5, 2, 1));
        verify();
    }

    @Test
    void drain() {
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 3);
        advanceStep();
        scenario.send(new SidecarEvent.DrainRequested());
        scenario.dispatch(SECOND_ENTRY, attempt(9, 1, 1));
        scenario.send(new SidecarEvent.CancelReceived(FIRST_ENTRY, List.of(attempt(2, 1, 1))));
        completeEach(1, 2);
        verify();
    }

    /** Completes the run of the first attempt at each task, under fencing token 1. */
    private void completeEach(int... tasks) {
        for (int task : tasks) {
            advanceStep();
            scenario.completeRun(attempt(task, 1, 1));
        }
    }

    private void advanceStep() {
        scenario.advance(STEP);
    }

    private void verify() {
        Approvals.verify(scenario.transcript(), new Options(new QuietReporter()));
    }
}
