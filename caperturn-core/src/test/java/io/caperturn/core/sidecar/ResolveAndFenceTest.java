package io.caperturn.core.sidecar;

import static io.caperturn.core.sidecar.SidecarScenario.FIRST_ENTRY;
import static io.caperturn.core.sidecar.SidecarScenario.JOB;
import static io.caperturn.core.sidecar.SidecarScenario.SECOND_ENTRY;
import static io.caperturn.core.sidecar.SidecarScenario.attempt;
import static io.caperturn.core.sidecar.SidecarScenario.completed;
import static io.caperturn.core.sidecar.SidecarScenario.notStarted;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.NotStartedReason;
import io.caperturn.core.model.TaskOutcome;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests the answers of a sidecar to a resolve and to a fence.
 *
 * <p>A resolve queries the state of an attempt, and bars the attempt if it is unknown. A fence comes from an entry that
 * adopts a submission: it bars all attempts with a lower fence that have not started, and is answered with the ledger
 * lines (the recorded attempts) of the submission.
 */
class ResolveAndFenceTest {
    private static final AttemptId ATTEMPT = attempt(1, 1, 1);
    private static final AttemptState FENCED = notStarted(NotStartedReason.FENCED);
    private static final AttemptState SUPERSEDED = notStarted(NotStartedReason.SUPERSEDED);

    @ParameterizedTest
    @ValueSource(longs = {0, 1})
    void resolveOfUnknownAttemptFencesIt(long fence) {
        SidecarScenario scenario = SidecarScenario.serving(2);
        AttemptId attempt = attempt(1, fence, 1);
        scenario.resolve(FIRST_ENTRY, attempt);
        assertEquals(List.of(FENCED), resolvedStates(scenario));
        scenario.dispatch(FIRST_ENTRY, attempt);
        assertEquals(List.of(), scenario.started());
    }

    @Test
    void resolveOfRunningAttemptReportsItsLaterCompletion() {
        SidecarScenario scenario = SidecarScenario.serving(2);
        scenario.dispatch(FIRST_ENTRY, ATTEMPT);
        scenario.resolve(SECOND_ENTRY, ATTEMPT);
        assertEquals(List.of(new AttemptState.Running()), resolvedStates(scenario));
        scenario.completeRun(ATTEMPT);
        assertEquals(
                List.of(new AttemptReport(ATTEMPT, new AttemptState.Done(completed("{}")))),
                scenario.reportsTo(SECOND_ENTRY));
    }

    @Test
    void resolveAfterLostReportReturnsResult() {
        SidecarScenario scenario = SidecarScenario.serving(2);
        scenario.dispatch(FIRST_ENTRY, ATTEMPT);
        scenario.on(new SidecarEvent.EntryLost(FIRST_ENTRY));
        scenario.completeRun(ATTEMPT);
        assertEquals(List.of(), scenario.lastCommands(SidecarMachineCommand.SendReports.class));
        scenario.on(new SidecarEvent.EntryLinked(FIRST_ENTRY));
        scenario.resolve(FIRST_ENTRY, ATTEMPT);
        assertEquals(List.of(new AttemptState.Done(completed("{}"))), resolvedStates(scenario));
    }

    @Test
    void resolveOfEarlierAttemptReportsLaterRunOfSameTask() {
        SidecarScenario scenario = SidecarScenario.serving(2);
        scenario.dispatch(FIRST_ENTRY, attempt(1, 2, 1));
        scenario.resolve(SECOND_ENTRY, ATTEMPT);
        assertEquals(List.of(new AttemptState.Running()), resolvedStates(scenario));
    }

    @Test
    void resolveForEarlierIncarnationIsAnsweredAsMayHaveRun() {
        SidecarScenario scenario = SidecarScenario.serving(2);
        scenario.on(new SidecarEvent.ResolveReceived(FIRST_ENTRY, SidecarScenario.EARLIER_SELF, ATTEMPT));
        assertEquals(
                List.of(new AttemptState.Done(
                        new TaskOutcome.Failed(Execution.MAY_HAVE_RUN, "another incarnation", Duration.ZERO))),
                resolvedStates(scenario));
    }

    @Test
    void queuedWorkOfLostEntryStillRuns() {
        SidecarScenario scenario = SidecarScenario.serving(1);
        scenario.dispatchTasks(FIRST_ENTRY, 2);
        scenario.on(new SidecarEvent.EntryLost(FIRST_ENTRY));
        scenario.completeRun(ATTEMPT);
        assertEquals(List.of(ATTEMPT, attempt(2, 1, 1)), scenario.started());
    }

    @Test
    void fenceCancelsQueuedAttemptsOfLowerFences() {
        SidecarScenario scenario = SidecarScenario.serving(1);
        scenario.dispatchTasks(FIRST_ENTRY, 2);
        scenario.on(new SidecarEvent.FenceReceived(SECOND_ENTRY, JOB, 2));
        assertEquals(List.of(new AttemptReport(attempt(2, 1, 1), SUPERSEDED)), scenario.reportsTo(FIRST_ENTRY));
        scenario.completeRun(ATTEMPT);
        assertEquals(List.of(ATTEMPT), scenario.started());
    }

    @Test
    void fenceReturnsLinesOfSubmission() {
        SidecarScenario scenario = SidecarScenario.serving(1);
        scenario.dispatchTasks(FIRST_ENTRY, 2);
        scenario.on(new SidecarEvent.FenceReceived(SECOND_ENTRY, JOB, 2));
        assertEquals(
                List.of(new SidecarMachineCommand.SendFenced(
                        SECOND_ENTRY,
                        JOB,
                        2,
                        List.of(
                                new AttemptReport(ATTEMPT, new AttemptState.Running()),
                                new AttemptReport(attempt(2, 1, 1), SUPERSEDED)))),
                scenario.lastCommands(SidecarMachineCommand.SendFenced.class));
    }

    @Test
    void completionOfFencedRunIsReportedToAdopter() {
        SidecarScenario scenario = SidecarScenario.serving(1);
        scenario.dispatch(FIRST_ENTRY, ATTEMPT);
        scenario.on(new SidecarEvent.FenceReceived(SECOND_ENTRY, JOB, 2));
        scenario.completeRun(ATTEMPT);
        assertEquals(
                List.of(new AttemptReport(ATTEMPT, new AttemptState.Done(completed("{}")))),
                scenario.reportsTo(SECOND_ENTRY));
    }

    @Test
    void lowerFenceIsAnsweredWithTheOneInForce() {
        SidecarScenario scenario = SidecarScenario.serving(1);
        scenario.on(new SidecarEvent.FenceReceived(FIRST_ENTRY, JOB, 3));
        scenario.on(new SidecarEvent.FenceReceived(SECOND_ENTRY, JOB, 2));
        assertEquals(
                3,
                scenario.lastCommands(SidecarMachineCommand.SendFenced.class)
                        .getFirst()
                        .fence());
    }

    @Test
    void adopterMayStartTasksThatDidNotStart() {
        SidecarScenario scenario = SidecarScenario.serving(1);
        scenario.dispatchTasks(FIRST_ENTRY, 2);
        scenario.on(new SidecarEvent.FenceReceived(SECOND_ENTRY, JOB, 2));
        scenario.dispatch(SECOND_ENTRY, attempt(2, 2, 1));
        scenario.completeRun(ATTEMPT);
        assertEquals(List.of(ATTEMPT, attempt(2, 2, 1)), scenario.started());
    }

    @Test
    void cancelDropsQueuedAttempt() {
        SidecarScenario scenario = SidecarScenario.serving(1);
        scenario.dispatchTasks(FIRST_ENTRY, 2);
        scenario.on(new SidecarEvent.CancelReceived(FIRST_ENTRY, List.of(attempt(2, 1, 1))));
        assertEquals(
                List.of(new AttemptReport(attempt(2, 1, 1), notStarted(NotStartedReason.CANCELLED))),
                scenario.reportsTo(FIRST_ENTRY));
        scenario.completeRun(ATTEMPT);
        assertEquals(List.of(ATTEMPT), scenario.started());
    }

    @Test
    void cancelAbortsRunAndReportsItsCompletion() {
        SidecarScenario scenario = SidecarScenario.serving(1);
        scenario.dispatch(FIRST_ENTRY, ATTEMPT);
        scenario.on(new SidecarEvent.CancelReceived(FIRST_ENTRY, List.of(ATTEMPT)));
        assertEquals(
                List.of(new SidecarMachineCommand.AbortRun(ATTEMPT)),
                scenario.lastCommands(SidecarMachineCommand.AbortRun.class));
        scenario.completeRun(ATTEMPT);
        assertEquals(
                List.of(new AttemptReport(ATTEMPT, new AttemptState.Done(completed("{}")))),
                scenario.reportsTo(FIRST_ENTRY));
    }

    private static List<AttemptState> resolvedStates(SidecarScenario scenario) {
        return scenario.lastCommands(SidecarMachineCommand.SendResolved.class).stream()
                .map(SidecarMachineCommand.SendResolved::state)
                .toList();
    }
}
