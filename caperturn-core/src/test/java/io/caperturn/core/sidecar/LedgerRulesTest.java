package io.caperturn.core.sidecar;

import static io.caperturn.core.sidecar.SidecarScenario.FIRST_ENTRY;
import static io.caperturn.core.sidecar.SidecarScenario.LEDGER_RETENTION;
import static io.caperturn.core.sidecar.SidecarScenario.POLICY;
import static io.caperturn.core.sidecar.SidecarScenario.SECOND_ENTRY;
import static io.caperturn.core.sidecar.SidecarScenario.SELF;
import static io.caperturn.core.sidecar.SidecarScenario.attempt;
import static io.caperturn.core.sidecar.SidecarScenario.completed;
import static io.caperturn.core.sidecar.SidecarScenario.notStarted;
import static io.caperturn.core.sidecar.SidecarScenario.receivedDispatch;
import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.NotStartedReason;
import io.caperturn.core.model.TaskOutcome;
import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests which attempts a sidecar process starts and refuses, and how long its ledger (record of attempts) keeps their
 * lines.
 *
 * <p>The arguments of {@link SidecarScenario#attempt} are the task, the fencing token and the attempt number.
 */
class LedgerRulesTest {
    private static final AttemptId ATTEMPT = attempt(1, 1, 1);

    /** State of an earlier attempt at the same task. */
    enum EarlierAttemptState {
        QUEUED,
        RUNNING,
        DONE
    }

    /** Returns the dispatches that a sidecar refuses, with the reason that it then reports. */
    static Stream<Arguments> refusals() {
        return Stream.of(
                refusal(
                        NotStartedReason.WRONG_INCARNATION,
                        scenario -> scenario.send(new SidecarEvent.DispatchReceived(
                                FIRST_ENTRY,
                                SidecarScenario.EARLIER_INCARNATION_OF_SELF,
                                List.of(receivedDispatch(ATTEMPT, "assay", Duration.ZERO)),
                                /* demand= */ 0))),
                refusal(NotStartedReason.LEAVING, scenario -> {
                    scenario.send(new SidecarEvent.UpstreamAnnounced(
                            SidecarScenario.upstreamWithSlotsAndConnections(2, 64), /* leaving= */ true));
                    scenario.dispatch(FIRST_ENTRY, ATTEMPT);
                }),
                refusal(NotStartedReason.LEAVING, scenario -> {
                    scenario.advance(SidecarScenario.ANNOUNCEMENT_TIMEOUT.plusMillis(1));
                    scenario.dispatch(FIRST_ENTRY, ATTEMPT);
                }),
                refusal(NotStartedReason.DRAINING, scenario -> {
                    scenario.send(new SidecarEvent.DrainRequested());
                    scenario.dispatch(FIRST_ENTRY, ATTEMPT);
                }),
                refusal(
                        NotStartedReason.KIND_NOT_SERVED,
                        scenario -> dispatchAttempt(scenario, "other", Duration.ZERO)),
                refusal(
                        NotStartedReason.CLAIM_TOO_OLD,
                        scenario -> dispatchAttempt(scenario, "assay", LEDGER_RETENTION.plusMillis(1))),
                refusal(
                        NotStartedReason.FULL,
                        scenario -> scenario.dispatch(
                                FIRST_ENTRY,
                                attempt(2, 1, 1),
                                attempt(3, 1, 1),
                                attempt(4, 1, 1),
                                attempt(5, 1, 1),
                                ATTEMPT)),
                refusal(NotStartedReason.SUPERSEDED, scenario -> {
                    scenario.send(new SidecarEvent.FenceReceived(SECOND_ENTRY, SidecarScenario.JOB, /* fence= */ 2));
                    scenario.dispatch(FIRST_ENTRY, ATTEMPT);
                }));
    }

    @ParameterizedTest
    @MethodSource("refusals")
    void refusedDispatchNeverStarts(NotStartedReason reason, Consumer<SidecarScenario> dispatch) {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(2);
        dispatch.accept(scenario);
        assertEquals(List.of(new AttemptReport(ATTEMPT, notStarted(reason))), scenario.lastReportsTo(FIRST_ENTRY));
        scenario.announceSlotsAndConnections(64, 64);
        scenario.dispatch(FIRST_ENTRY, ATTEMPT);
        assertEquals(0, countStarts(scenario, ATTEMPT));
    }

    @Test
    void dispatchWithoutAnyUpstreamIsRefused() {
        SidecarScenario scenario = new SidecarScenario(POLICY);
        scenario.send(new SidecarEvent.EntryLinked(FIRST_ENTRY));
        scenario.dispatch(FIRST_ENTRY, ATTEMPT);
        assertEquals(
                List.of(new AttemptReport(ATTEMPT, notStarted(NotStartedReason.LEAVING))),
                scenario.lastReportsTo(FIRST_ENTRY));
    }

    @ParameterizedTest
    @EnumSource(EarlierAttemptState.class)
    void secondDispatchOfTaskReportsStateOfFirst(EarlierAttemptState earlierState) {
        SidecarScenario scenario = createScenarioWithAttemptIn(earlierState);
        AttemptId second = attempt(1, 2, 5);
        scenario.dispatch(SECOND_ENTRY, second);
        assertEquals(List.of(new AttemptReport(second, stateOf(earlierState))), scenario.lastReportsTo(SECOND_ENTRY));
    }

    @ParameterizedTest
    @EnumSource(EarlierAttemptState.class)
    void secondDispatchOfTaskNeverStarts(EarlierAttemptState earlierState) {
        SidecarScenario scenario = createScenarioWithAttemptIn(earlierState);
        scenario.dispatch(SECOND_ENTRY, attempt(1, 2, 5));
        scenario.completeRun(attempt(2, 1, 1));
        scenario.completeRun(ATTEMPT);
        assertEquals(List.of(ATTEMPT), startedAttemptsOfTask(scenario, 1));
    }

    @ParameterizedTest
    @EnumSource(
            value = EarlierAttemptState.class,
            names = {"QUEUED", "RUNNING"})
    void laterCompletionIsReportedToEverySubscriber(EarlierAttemptState earlierState) {
        SidecarScenario scenario = createScenarioWithAttemptIn(earlierState);
        AttemptId second = attempt(1, 2, 5);
        scenario.dispatch(SECOND_ENTRY, second);
        scenario.completeRun(attempt(2, 1, 1));
        scenario.completeRun(ATTEMPT);
        AttemptState done = new AttemptState.Done(completed("{}"));
        assertEquals(List.of(new AttemptReport(ATTEMPT, done)), scenario.lastReportsTo(FIRST_ENTRY));
        assertEquals(List.of(new AttemptReport(second, done)), scenario.lastReportsTo(SECOND_ENTRY));
    }

    @ParameterizedTest
    @CsvSource({"1, 1, false", "1, 2, false", "1, 3, true", "2, 1, true", "2, 9, true"})
    void onlyNewerAttemptMayStartAfterOneThatDidNotStart(long fence, int number, boolean starts) {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(2);
        scenario.resolve(FIRST_ENTRY, attempt(1, 1, 2));
        AttemptId next = attempt(1, fence, number);
        scenario.dispatch(FIRST_ENTRY, next);
        assertEquals(starts ? List.of(next) : List.of(), scenario.startedAttempts());
        assertEquals(
                starts ? List.of() : List.of(new AttemptReport(next, notStarted(NotStartedReason.FENCED))),
                scenario.lastReportsTo(FIRST_ENTRY));
    }

    @Test
    void idempotentAttemptStartsWhileEarlierOneRuns() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(2);
        scenario.dispatch(FIRST_ENTRY, attempt(1, 0, 1));
        scenario.dispatch(SECOND_ENTRY, attempt(1, 0, 2));
        assertEquals(List.of(attempt(1, 0, 1), attempt(1, 0, 2)), scenario.startedAttempts());
    }

    @Test
    void sameIdempotentAttemptStartsOnce() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(2);
        scenario.dispatch(FIRST_ENTRY, attempt(1, 0, 1));
        scenario.dispatch(FIRST_ENTRY, attempt(1, 0, 1));
        assertEquals(List.of(attempt(1, 0, 1)), scenario.startedAttempts());
    }

    @Test
    void refusalByUpstreamLetsTaskStartAgain() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(2);
        scenario.dispatch(FIRST_ENTRY, ATTEMPT);
        scenario.send(new SidecarEvent.RunEnded(
                ATTEMPT, new TaskOutcome.Failed(Execution.NOT_RUN, "refused", Duration.ZERO)));
        assertEquals(
                List.of(new AttemptReport(ATTEMPT, notStarted(NotStartedReason.REFUSED_BY_UPSTREAM))),
                scenario.lastReportsTo(FIRST_ENTRY));
        scenario.dispatch(FIRST_ENTRY, attempt(1, 1, 2));
        assertEquals(List.of(ATTEMPT, attempt(1, 1, 2)), scenario.startedAttempts());
    }

    @Test
    void fullLedgerRefusesNewWork() {
        SidecarPolicy policy =
                new SidecarPolicy(Duration.ofSeconds(3), 1, LEDGER_RETENTION, /* maximumLedgerLines= */ 2, 1_000);
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(8, policy);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 3);
        assertEquals(
                List.of(new AttemptReport(attempt(3, 1, 1), notStarted(NotStartedReason.FULL))),
                scenario.lastReportsTo(FIRST_ENTRY));
    }

    @ParameterizedTest
    @CsvSource({"-1, 1", "1, 0"})
    void finishedLineIsEvictedOnlyAfterLedgerRetention(long millisecondsAfterRetention, int linesLeft) {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(8);
        scenario.dispatch(FIRST_ENTRY, ATTEMPT);
        scenario.completeRun(ATTEMPT);
        scenario.advanceAndAnnounceSlots(LEDGER_RETENTION.plusMillis(millisecondsAfterRetention), 8);
        assertEquals(linesLeft, scenario.machine().load().ledgerLines());
    }

    @Test
    void lineOfLaterAttemptIsKeptWhenReplacedRefusalWouldExpire() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(8);
        scenario.resolve(FIRST_ENTRY, ATTEMPT);
        scenario.advanceAndAnnounceSlots(LEDGER_RETENTION.dividedBy(2), 8);
        scenario.dispatch(FIRST_ENTRY, attempt(1, 1, 2));
        scenario.completeRun(attempt(1, 1, 2));
        scenario.advanceAndAnnounceSlots(LEDGER_RETENTION.dividedBy(2).plusMillis(1), 8);
        assertEquals(1, scenario.machine().load().ledgerLines());
    }

    @Test
    void runningLineIsNeverEvicted() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(8);
        scenario.dispatch(FIRST_ENTRY, ATTEMPT);
        scenario.advanceAndAnnounceSlots(LEDGER_RETENTION.multipliedBy(3), 8);
        assertEquals(1, scenario.machine().load().ledgerLines());
    }

    @Test
    void oldestResultsBeyondByteBoundAreDropped() {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(8);
        scenario.dispatchTasksOneTo(FIRST_ENTRY, 2);
        scenario.send(new SidecarEvent.RunEnded(attempt(1, 1, 1), completed("x".repeat(600))));
        scenario.send(new SidecarEvent.RunEnded(attempt(2, 1, 1), completed("y".repeat(600))));
        scenario.resolve(FIRST_ENTRY, attempt(1, 1, 1));
        assertEquals(
                new AttemptState.Done(
                        new TaskOutcome.Failed(Execution.RAN, "result no longer kept", Duration.ofMillis(50))),
                scenario.lastCommandsOfType(SidecarMachineCommand.SendResolved.class)
                        .getFirst()
                        .state());
        assertEquals(600, scenario.machine().load().resultBytes());
    }

    /** Returns a scenario with {@link #ATTEMPT} in the given state; an attempt at task 2 runs if it is queued. */
    private static SidecarScenario createScenarioWithAttemptIn(EarlierAttemptState earlierState) {
        SidecarScenario scenario = SidecarScenario.withUpstreamOfSlots(1);
        if (earlierState == EarlierAttemptState.QUEUED) {
            scenario.dispatch(FIRST_ENTRY, attempt(2, 1, 1));
        }
        scenario.dispatch(FIRST_ENTRY, ATTEMPT);
        if (earlierState == EarlierAttemptState.DONE) {
            scenario.completeRun(ATTEMPT);
        }
        return scenario;
    }

    private static AttemptState stateOf(EarlierAttemptState earlierState) {
        return switch (earlierState) {
            case QUEUED -> new AttemptState.Queued();
            case RUNNING -> new AttemptState.Running();
            case DONE -> new AttemptState.Done(completed("{}"));
        };
    }

    private static Arguments refusal(NotStartedReason reason, Consumer<SidecarScenario> dispatch) {
        return Arguments.of(reason, dispatch);
    }

    private static void dispatchAttempt(SidecarScenario scenario, String kind, Duration claimAge) {
        scenario.send(new SidecarEvent.DispatchReceived(
                FIRST_ENTRY, SELF, List.of(receivedDispatch(ATTEMPT, kind, claimAge)), 0));
    }

    private static long countStarts(SidecarScenario scenario, AttemptId attempt) {
        return scenario.startedAttempts().stream().filter(attempt::equals).count();
    }

    private static List<AttemptId> startedAttemptsOfTask(SidecarScenario scenario, int task) {
        return scenario.startedAttempts().stream()
                .filter(started -> started.key().equals(attempt(task, 1, 1).key()))
                .toList();
    }
}
