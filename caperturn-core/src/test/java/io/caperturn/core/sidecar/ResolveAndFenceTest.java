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
 * Tests how a sidecar process handles resolve, fence and cancel requests of entry processes.
 *
 * <p>A resolve request queries the state of an attempt, and prevents the attempt from starting if it is unknown. A
 * fence request comes from an entry that adopts a submission: it prevents attempts with a lower fencing token from
 * starting, and is answered with the ledger lines (the recorded attempts) of the submission.
 *
 * <p>The arguments of {@link SidecarScenario#attempt} are the task, the fencing token and the attempt number.
 */
class ResolveAndFenceTest {
    private static final AttemptId ATTEMPT = attempt(1, 1, 1);
    private static final AttemptState FENCED = notStarted(NotStartedReason.FENCED);
    private static final AttemptState SUPERSEDED = notStarted(NotStartedReason.SUPERSEDED);

    @ParameterizedTest
    @ValueSource(longs = {0, 1})
    void resolveOfUnknownAttemptPreventsItsStart(long fence) {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(2);
        AttemptId attempt = attempt(1, fence, 1);
        scenario.resolve(FIRST_ENTRY, attempt);
        assertEquals(List.of(FENCED), lastResolvedStates(scenario));
        scenario.dispatch(FIRST_ENTRY, attempt);
        assertEquals(List.of(), scenario.startedAttempts());
    }

    @Test
    void resolveOfRunningAttemptReportsItsLaterCompletion() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(2);
        scenario.dispatch(FIRST_ENTRY, ATTEMPT);
        scenario.resolve(SECOND_ENTRY, ATTEMPT);
        assertEquals(List.of(new AttemptState.Running()), lastResolvedStates(scenario));
        scenario.completeRun(ATTEMPT);
        assertEquals(
                List.of(new AttemptReport(ATTEMPT, new AttemptState.Done(completed("{}")))),
                scenario.lastReportsTo(SECOND_ENTRY));
    }

    @Test
    void resolveAfterLostReportReturnsResult() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(2);
        scenario.dispatch(FIRST_ENTRY, ATTEMPT);
        scenario.send(new SidecarEvent.EntryLost(FIRST_ENTRY));
        scenario.completeRun(ATTEMPT);
        assertEquals(List.of(), scenario.lastCommandsOfType(SidecarMachineCommand.SendReports.class));
        scenario.send(new SidecarEvent.EntryLinked(FIRST_ENTRY));
        scenario.resolve(FIRST_ENTRY, ATTEMPT);
        assertEquals(List.of(new AttemptState.Done(completed("{}"))), lastResolvedStates(scenario));
    }

    @Test
    void resolveOfEarlierAttemptReportsLaterRunOfSameTask() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(2);
        scenario.dispatch(FIRST_ENTRY, attempt(1, 2, 1));
        scenario.resolve(SECOND_ENTRY, ATTEMPT);
        assertEquals(List.of(new AttemptState.Running()), lastResolvedStates(scenario));
    }

    @Test
    void resolveForEarlierIncarnationIsAnsweredAsMayHaveRun() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(2);
        scenario.send(
                new SidecarEvent.ResolveReceived(FIRST_ENTRY, SidecarScenario.EARLIER_INCARNATION_OF_SELF, ATTEMPT));
        assertEquals(
                List.of(new AttemptState.Done(
                        new TaskOutcome.Failed(Execution.MAY_HAVE_RUN, "another incarnation", Duration.ZERO))),
                lastResolvedStates(scenario));
    }

    @Test
    void queuedWorkOfLostEntryStillRuns() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 2);
        scenario.send(new SidecarEvent.EntryLost(FIRST_ENTRY));
        scenario.completeRun(ATTEMPT);
        assertEquals(List.of(ATTEMPT, attempt(2, 1, 1)), scenario.startedAttempts());
    }

    @Test
    void fenceCancelsQueuedAttemptsWithLowerFencingToken() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 2);
        scenario.send(new SidecarEvent.FenceReceived(SECOND_ENTRY, JOB, /* fence= */ 2));
        assertEquals(List.of(new AttemptReport(attempt(2, 1, 1), SUPERSEDED)), scenario.lastReportsTo(FIRST_ENTRY));
        scenario.completeRun(ATTEMPT);
        assertEquals(List.of(ATTEMPT), scenario.startedAttempts());
    }

    @Test
    void fenceReturnsLinesOfSubmission() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 2);
        scenario.send(new SidecarEvent.FenceReceived(SECOND_ENTRY, JOB, 2));
        assertEquals(
                List.of(new SidecarMachineCommand.SendFenced(
                        SECOND_ENTRY,
                        JOB,
                        2,
                        List.of(
                                new AttemptReport(ATTEMPT, new AttemptState.Running()),
                                new AttemptReport(attempt(2, 1, 1), SUPERSEDED)))),
                scenario.lastCommandsOfType(SidecarMachineCommand.SendFenced.class));
    }

    @Test
    void completionOfFencedRunIsReportedToAdopter() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        scenario.dispatch(FIRST_ENTRY, ATTEMPT);
        scenario.send(new SidecarEvent.FenceReceived(SECOND_ENTRY, JOB, 2));
        scenario.completeRun(ATTEMPT);
        assertEquals(
                List.of(new AttemptReport(ATTEMPT, new AttemptState.Done(completed("{}")))),
                scenario.lastReportsTo(SECOND_ENTRY));
    }

    @Test
    void fenceWithLowerTokenIsAnsweredWithTokenInForce() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        scenario.send(new SidecarEvent.FenceReceived(FIRST_ENTRY, JOB, 3));
        scenario.send(new SidecarEvent.FenceReceived(SECOND_ENTRY, JOB, 2));
        assertEquals(
                3,
                scenario.lastCommandsOfType(SidecarMachineCommand.SendFenced.class)
                        .getFirst()
                        .fence());
    }

    @Test
    void adopterMayStartTasksThatDidNotStart() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 2);
        scenario.send(new SidecarEvent.FenceReceived(SECOND_ENTRY, JOB, 2));
        scenario.dispatch(SECOND_ENTRY, attempt(2, 2, 1));
        scenario.completeRun(ATTEMPT);
        assertEquals(List.of(ATTEMPT, attempt(2, 2, 1)), scenario.startedAttempts());
    }

    @Test
    void cancelDropsQueuedAttempt() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 2);
        scenario.send(new SidecarEvent.CancelReceived(FIRST_ENTRY, List.of(attempt(2, 1, 1))));
        assertEquals(
                List.of(new AttemptReport(attempt(2, 1, 1), notStarted(NotStartedReason.CANCELLED))),
                scenario.lastReportsTo(FIRST_ENTRY));
        scenario.completeRun(ATTEMPT);
        assertEquals(List.of(ATTEMPT), scenario.startedAttempts());
    }

    @Test
    void cancelAbortsRunAndReportsItsCompletion() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        scenario.dispatch(FIRST_ENTRY, ATTEMPT);
        scenario.send(new SidecarEvent.CancelReceived(FIRST_ENTRY, List.of(ATTEMPT)));
        assertEquals(
                List.of(new SidecarMachineCommand.AbortRun(ATTEMPT)),
                scenario.lastCommandsOfType(SidecarMachineCommand.AbortRun.class));
        scenario.completeRun(ATTEMPT);
        assertEquals(
                List.of(new AttemptReport(ATTEMPT, new AttemptState.Done(completed("{}")))),
                scenario.lastReportsTo(FIRST_ENTRY));
    }

    /** Returns the states with which the last resolve request was answered. */
    private static List<AttemptState> lastResolvedStates(SidecarScenario scenario) {
        return scenario.lastCommandsOfType(SidecarMachineCommand.SendResolved.class).stream()
                .map(SidecarMachineCommand.SendResolved::state)
                .toList();
    }
}
