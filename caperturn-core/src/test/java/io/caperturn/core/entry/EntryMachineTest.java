package io.caperturn.core.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.core.model.Answer;
import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.NotStartedReason;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Repeatability;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.model.TaskResult;
import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class EntryMachineTest {
    private final EntryFixture entry = new EntryFixture();

    @Test
    void nothingStartsBeforeTheClaimIsGranted() {
        entry.open(EntryFixture.SIDECAR, 8);
        entry.submit(entry.job(2));
        assertTrue(entry.dispatches().isEmpty());
        entry.grantClaim();
        assertEquals(2, entry.dispatches().size());
    }

    @Test
    void completeAnswerHasEveryResultInOrderOfTheJob() {
        startJob(2);
        List<EntryMachineCommand.Dispatch> dispatches = entry.dispatches();
        entry.report(EntryFixture.SIDECAR, dispatches.get(1).attempt(), EntryFixture.completed("2"));
        assertTrue(entry.answers().isEmpty());
        entry.report(EntryFixture.SIDECAR, dispatches.get(0).attempt(), EntryFixture.completed("1"));
        Answer expected = new Answer.Complete(List.of(new TaskResult("t1", "1"), new TaskResult("t2", "2")));
        assertEquals(expected, onlyAnswer());
    }

    @Test
    void resubmissionWhileItRunsStartsNothingAndGetsTheSameAnswer() {
        startJob(1);
        entry.submit(entry.job(1));
        entry.report(EntryFixture.SIDECAR, entry.lastAttempt(), EntryFixture.completed("1"));
        assertEquals(1, entry.dispatches().size());
        assertEquals(List.of(1L, 2L), entry.answers().getLast().waiters());
    }

    @Test
    void resubmissionAfterTheAnswerGetsItAgainWithoutAStart() {
        startJob(1);
        entry.report(EntryFixture.SIDECAR, entry.lastAttempt(), EntryFixture.completed("1"));
        entry.submit(entry.job(1));
        assertEquals(1, entry.dispatches().size());
        assertEquals(entry.answers().get(0).answer(), entry.answers().get(1).answer());
    }

    @Test
    void sameKeyWithAnotherBodyIsAConflict() {
        startJob(1);
        entry.submit(entry.submission(Repeatability.AT_MOST_ONCE, 1, "another"));
        assertFailed(onlyAnswer(), FailureReason.DIGEST_CONFLICT, Execution.NOT_RUN);
    }

    @Test
    void storeThatCannotClaimMeansThatThisAttemptDidNotRun() {
        entry.open(EntryFixture.SIDECAR, 8);
        entry.submit(entry.job(1));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.ID, new ClaimResult.Unavailable("down")));
        assertFailed(onlyAnswer(), FailureReason.STORE_UNAVAILABLE, Execution.ATTEMPT_NOT_RUN);
        assertTrue(((Answer.Failed) onlyAnswer()).retryAfter().isPresent());
        assertTrue(entry.dispatches().isEmpty());
    }

    @Test
    void claimGrantedAfterItsRefusalStartsNothing() {
        entry.open(EntryFixture.SIDECAR, 8);
        entry.submit(entry.job(1));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.ID, new ClaimResult.Unavailable("slow")));
        entry.grantClaim();
        assertTrue(entry.dispatches().isEmpty());
    }

    @ParameterizedTest
    @CsvSource({"true, 1", "false, 0"})
    void ownClaimFoundAgainRunsOnlyWhereNothingStartedUnderIt(boolean refusedBefore, int starts) {
        entry.open(EntryFixture.SIDECAR, 8);
        entry.submit(entry.job(1));
        long first = entry.lastRequest();
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.ID, new ClaimResult.Unavailable("reply lost")));
        entry.submit(entry.job(1));
        entry.send(new EntryEvent.ClaimSettled(
                EntryFixture.ID, new ClaimResult.Granted(1, refusedBefore ? first : first - 1)));
        assertEquals(starts, entry.dispatches().size());
    }

    @Test
    void claimUnderWhichSomethingRanIsNeverRunAgainAfterAnOutage() {
        startJob(1);
        long first = entry.lastRequest();
        entry.report(EntryFixture.SIDECAR, entry.lastAttempt(), EntryFixture.completed("1"));
        entry.pass(EntryPolicy.DEFAULT.answerRetention());
        entry.resubmit(entry.job(1));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.ID, new ClaimResult.Unavailable("down")));
        assertFailed(entry.answers().getLast().answer(), FailureReason.STORE_UNAVAILABLE, Execution.MAY_HAVE_RUN);
        entry.resubmit(entry.job(1));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.ID, new ClaimResult.Granted(1, first)));
        assertFailed(entry.answers().getLast().answer(), FailureReason.ANSWER_EXPIRED, Execution.MAY_HAVE_RUN);
        assertEquals(1, entry.dispatches().size());
    }

    @Test
    void lateGrantOfAnotherBodyStartsNothing() {
        entry.open(EntryFixture.SIDECAR, 8);
        entry.submit(entry.job(1));
        long first = entry.lastRequest();
        entry.send(new EntryEvent.CancelRequested(EntryFixture.ID));
        entry.submit(entry.submission(Repeatability.AT_MOST_ONCE, 1, "another"));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.ID, new ClaimResult.Granted(1, first)));
        assertTrue(entry.dispatches().isEmpty());
    }

    @Test
    void refusedResubmissionDoesNotClaimThatNothingRan() {
        entry.send(new EntryEvent.DrainRequested());
        entry.resubmit(entry.job(1));
        assertFailed(onlyAnswer(), FailureReason.DRAINING, Execution.MAY_HAVE_RUN);
    }

    @Test
    void claimHeldByAnotherEntryIsRelayedAndItsAnswerGiven() {
        entry.submit(entry.job(1));
        ProcessId owner = new ProcessId("entry-2", 7);
        entry.send(new EntryEvent.ClaimSettled(
                EntryFixture.ID, new ClaimResult.HeldByOther(owner, "127.0.0.1:1", 1, "digest", entry.now())));
        assertEquals(
                owner,
                entry.commands(EntryMachineCommand.RelayToOwner.class).getFirst().owner());
        Answer answer = new Answer.Complete(List.of(new TaskResult("t1", "1")));
        entry.send(new EntryEvent.RelaySettled(EntryFixture.ID, new RelayResult.Answered(answer)));
        assertEquals(answer, onlyAnswer());
    }

    @ParameterizedTest
    @EnumSource(value = NotStartedReason.class, mode = EnumSource.Mode.EXCLUDE, names = "SUPERSEDED")
    void provenNotStartedIsPlacedAgain(NotStartedReason reason) {
        startJob(1);
        AttemptId first = entry.lastAttempt();
        entry.report(EntryFixture.SIDECAR, first, new AttemptState.NotStarted(reason));
        assertEquals(2, entry.dispatches().size());
        assertEquals(first.attempt() + 1, entry.lastAttempt().attempt());
    }

    @ParameterizedTest
    @EnumSource(Repeatability.class)
    void unknownEndIsRetriedOnlyForIdempotentRequests(Repeatability repeatability) {
        entry.open(EntryFixture.SIDECAR, 8);
        entry.submit(entry.submission(repeatability, 1, "digest"));
        if (repeatability == Repeatability.AT_MOST_ONCE) {
            entry.grantClaim();
        }
        TaskOutcome unknown = new TaskOutcome.Failed(Execution.MAY_HAVE_RUN, "reset", Duration.ZERO);
        entry.report(EntryFixture.SIDECAR, entry.lastAttempt(), new AttemptState.Done(unknown));
        if (repeatability == Repeatability.IDEMPOTENT) {
            assertEquals(2, entry.dispatches().size());
        } else {
            assertEquals(1, entry.dispatches().size());
            assertFailed(onlyAnswer(), FailureReason.TASK_FAILED, Execution.MAY_HAVE_RUN);
        }
    }

    @Test
    void lostLinkMovesNothingElsewhere() {
        startJob(1);
        entry.open(EntryFixture.OTHER_SIDECAR, 8);
        entry.send(new EntryEvent.SidecarLost(EntryFixture.SIDECAR));
        entry.pass(Duration.ofMillis(500));
        assertEquals(1, entry.dispatches().size());
    }

    @Test
    void linkThatIsBackIsAskedAndFencedTasksGoElsewhere() {
        startJob(1);
        AttemptId first = entry.lastAttempt();
        entry.send(new EntryEvent.SidecarLost(EntryFixture.SIDECAR));
        entry.open(EntryFixture.SIDECAR, 8);
        assertEquals(
                first, entry.commands(EntryMachineCommand.SendResolve.class).getFirst().attempt());
        entry.send(new EntryEvent.AttemptResolved(
                EntryFixture.SIDECAR, first, new AttemptState.NotStarted(NotStartedReason.FENCED)));
        assertEquals(2, entry.dispatches().size());
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void sidecarGoneForGoodFailsTheJobAsMayHaveRun(boolean replaced) {
        startJob(1);
        entry.send(new EntryEvent.SidecarLost(EntryFixture.SIDECAR));
        if (replaced) {
            entry.open(new ProcessId(EntryFixture.SIDECAR.name(), 2), 8);
        } else {
            entry.pass(EntryPolicy.DEFAULT.doubtTimeout());
        }
        assertFailed(onlyAnswer(), FailureReason.TASK_FAILED, Execution.MAY_HAVE_RUN);
        assertEquals(1, entry.dispatches().size());
    }

    @Test
    void deadlineAnswersAtOnceAndCancelsWhatIsOutstanding() {
        startJob(1);
        entry.pass(Duration.ofSeconds(60));
        assertFailed(onlyAnswer(), FailureReason.DEADLINE, Execution.MAY_HAVE_RUN);
        assertEquals(1, entry.commands(EntryMachineCommand.SendCancels.class).size());
    }

    @Test
    void cancelledBeforeAnyDispatchIsNotRunAndCostsNoMessage() {
        entry.submit(entry.job(100));
        entry.grantClaim();
        entry.send(new EntryEvent.CancelRequested(EntryFixture.ID));
        assertFailed(onlyAnswer(), FailureReason.CANCELLED, Execution.NOT_RUN);
        entry.open(EntryFixture.SIDECAR, 8);
        assertTrue(entry.dispatches().isEmpty());
        assertTrue(entry.commands(EntryMachineCommand.SendCancels.class).isEmpty());
    }

    @Test
    void resubmissionOfWorkThatWasTrulyNotRunMayRun() {
        entry.submit(entry.job(1));
        entry.grantClaim();
        entry.send(new EntryEvent.CancelRequested(EntryFixture.ID));
        entry.open(EntryFixture.SIDECAR, 8);
        long first = entry.lastRequest();
        entry.submit(entry.job(1));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.ID, new ClaimResult.Granted(1, first)));
        assertEquals(1, entry.dispatches().size());
    }

    @Test
    void reportOfAnEarlierAttemptIsDropped() {
        startJob(1);
        AttemptId first = entry.lastAttempt();
        entry.report(EntryFixture.SIDECAR, first, new AttemptState.NotStarted(NotStartedReason.FULL));
        entry.report(EntryFixture.SIDECAR, first, EntryFixture.completed("late"));
        assertTrue(entry.answers().isEmpty());
    }

    @Test
    void doubledReportChangesNothing() {
        startJob(2);
        AttemptId first = entry.dispatches().getFirst().attempt();
        entry.report(EntryFixture.SIDECAR, first, EntryFixture.completed("1"));
        entry.report(EntryFixture.SIDECAR, first, EntryFixture.completed("1"));
        assertTrue(entry.answers().isEmpty());
    }

    @Test
    void drainRefusesNewWorkAndFinishesWhatWasAccepted() {
        startJob(1);
        entry.send(new EntryEvent.DrainRequested());
        assertTrue(entry.commands(EntryMachineCommand.Drained.class).isEmpty());
        entry.report(EntryFixture.SIDECAR, entry.lastAttempt(), EntryFixture.completed("1"));
        assertInstanceOf(Answer.Complete.class, onlyAnswer());
        assertEquals(1, entry.commands(EntryMachineCommand.Drained.class).size());
    }

    @Test
    void nothingIsSentToASidecarAfterItsFarewellWasAnswered() {
        entry.open(EntryFixture.SIDECAR, 8);
        entry.send(new EntryEvent.FarewellReceived(EntryFixture.SIDECAR));
        entry.submit(entry.job(1));
        entry.grantClaim();
        assertEquals(
                EntryFixture.SIDECAR,
                entry.commands(EntryMachineCommand.SendFarewell.class).getFirst().sidecar());
        assertTrue(entry.dispatches().isEmpty());
    }

    @Test
    void dispatchThatWasNeverWrittenGoesElsewhere() {
        startJob(1);
        entry.open(EntryFixture.OTHER_SIDECAR, 8);
        AttemptId first = entry.lastAttempt();
        entry.send(new EntryEvent.SidecarLost(EntryFixture.SIDECAR));
        entry.send(new EntryEvent.DispatchNotSent(EntryFixture.SIDECAR, List.of(first)));
        assertEquals(2, entry.dispatches().size());
    }

    private void startJob(int tasks) {
        entry.open(EntryFixture.SIDECAR, 8);
        entry.submit(entry.job(tasks));
        entry.grantClaim();
    }

    private Answer onlyAnswer() {
        assertEquals(1, entry.answers().size());
        return entry.answers().getFirst().answer();
    }

    private static void assertFailed(Answer answer, FailureReason reason, Execution execution) {
        Answer.Failed failed = assertInstanceOf(Answer.Failed.class, answer);
        assertEquals(reason, failed.reason());
        assertEquals(execution, failed.execution());
    }
}
