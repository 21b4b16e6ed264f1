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

/**
 * Tests when an entry dispatches the tasks of a submission, and how it answers the callers.
 *
 * <p>A claim is the record in the store by which an entry owns a submission; idempotent submissions need none.
 */
class EntryMachineTest {
    private final EntryFixture entry = new EntryFixture();

    @Test
    void nothingStartsBeforeTheClaimIsGranted() {
        entry.linkSidecar(EntryFixture.SIDECAR, 8);
        entry.submit(entry.job(2));
        assertTrue(entry.dispatches().isEmpty());
        entry.grantClaim();
        assertEquals(2, entry.dispatches().size());
    }

    @Test
    void completeAnswerHasAllResultsInOrderOfTheTasks() {
        startJob(2);
        List<EntryMachineCommand.Dispatch> dispatches = entry.dispatches();
        entry.report(EntryFixture.SIDECAR, dispatches.get(1).attempt(), EntryFixture.completed("2"));
        assertTrue(entry.answers().isEmpty());
        entry.report(EntryFixture.SIDECAR, dispatches.get(0).attempt(), EntryFixture.completed("1"));
        Answer expected = new Answer.Complete(List.of(new TaskResult("t1", "1"), new TaskResult("t2", "2")));
        assertEquals(expected, onlyAnswer());
    }

    @Test
    void resubmissionOfARunningJobStartsNothingAndGetsTheSameAnswer() {
        startJob(1);
        entry.submit(entry.job(1));
        entry.report(EntryFixture.SIDECAR, entry.lastAttempt(), EntryFixture.completed("1"));
        assertEquals(1, entry.dispatches().size());
        assertEquals(List.of(1L, 2L), entry.answers().getLast().waiters());
    }

    @Test
    void resubmissionOfAnAnsweredJobGetsTheKeptAnswerWithoutAStart() {
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
    void unavailableStoreIsAnsweredAsAttemptNotRun() {
        entry.linkSidecar(EntryFixture.SIDECAR, 8);
        entry.submit(entry.job(1));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.ID, new ClaimResult.Unavailable("down")));
        assertFailed(onlyAnswer(), FailureReason.STORE_UNAVAILABLE, Execution.ATTEMPT_NOT_RUN);
        assertTrue(((Answer.Failed) onlyAnswer()).retryAfter().isPresent());
        assertTrue(entry.dispatches().isEmpty());
    }

    @Test
    void claimGrantedAfterTheRefusalStartsNothing() {
        entry.linkSidecar(EntryFixture.SIDECAR, 8);
        entry.submit(entry.job(1));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.ID, new ClaimResult.Unavailable("slow")));
        entry.grantClaim();
        assertTrue(entry.dispatches().isEmpty());
    }

    @ParameterizedTest
    @CsvSource({"true, 1", "false, 0"})
    void resubmissionUnderAnOwnClaimRunsOnlyIfNothingStartedUnderIt(boolean claimedByRefusedRequest, int starts) {
        entry.linkSidecar(EntryFixture.SIDECAR, 8);
        entry.submit(entry.job(1));
        long firstRequest = entry.lastRequest();
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.ID, new ClaimResult.Unavailable("reply lost")));
        entry.submit(entry.job(1));
        entry.send(new EntryEvent.ClaimSettled(
                EntryFixture.ID,
                new ClaimResult.Granted(1, claimedByRefusedRequest ? firstRequest : firstRequest - 1)));
        assertEquals(starts, entry.dispatches().size());
    }

    @Test
    void jobThatRanIsNotRunAgainAfterAStoreOutage() {
        startJob(1);
        long firstRequest = entry.lastRequest();
        entry.report(EntryFixture.SIDECAR, entry.lastAttempt(), EntryFixture.completed("1"));
        entry.advance(EntryPolicy.DEFAULT.answerRetention());
        entry.resubmit(entry.job(1));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.ID, new ClaimResult.Unavailable("down")));
        assertFailed(entry.answers().getLast().answer(), FailureReason.STORE_UNAVAILABLE, Execution.MAY_HAVE_RUN);
        entry.resubmit(entry.job(1));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.ID, new ClaimResult.Granted(1, firstRequest)));
        assertFailed(entry.answers().getLast().answer(), FailureReason.ANSWER_EXPIRED, Execution.MAY_HAVE_RUN);
        assertEquals(1, entry.dispatches().size());
    }

    @Test
    void lateGrantOfAnotherBodyStartsNothing() {
        entry.linkSidecar(EntryFixture.SIDECAR, 8);
        entry.submit(entry.job(1));
        long firstRequest = entry.lastRequest();
        entry.send(new EntryEvent.CancelRequested(EntryFixture.ID));
        entry.submit(entry.submission(Repeatability.AT_MOST_ONCE, 1, "another"));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.ID, new ClaimResult.Granted(1, firstRequest)));
        assertTrue(entry.dispatches().isEmpty());
    }

    @Test
    void refusedResubmissionIsAnsweredAsMayHaveRun() {
        entry.send(new EntryEvent.DrainRequested());
        entry.resubmit(entry.job(1));
        assertFailed(onlyAnswer(), FailureReason.DRAINING, Execution.MAY_HAVE_RUN);
    }

    @Test
    void submissionClaimedByAnotherEntryIsRelayedAndAnswered() {
        entry.submit(entry.job(1));
        ProcessId owner = new ProcessId("entry-2", 7);
        entry.send(new EntryEvent.ClaimSettled(
                EntryFixture.ID, new ClaimResult.HeldByOther(owner, "127.0.0.1:1", 1, "digest", entry.now())));
        assertEquals(
                owner,
                entry.commands(EntryMachineCommand.RelayToOwner.class)
                        .getFirst()
                        .owner());
        Answer answer = new Answer.Complete(List.of(new TaskResult("t1", "1")));
        entry.send(new EntryEvent.RelaySettled(EntryFixture.ID, new RelayResult.Answered(answer)));
        assertEquals(answer, onlyAnswer());
    }

    @ParameterizedTest
    @EnumSource(value = NotStartedReason.class, mode = EnumSource.Mode.EXCLUDE, names = "SUPERSEDED")
    void taskOfAnAttemptThatDidNotStartIsPlacedAgain(NotStartedReason reason) {
        startJob(1);
        AttemptId firstAttempt = entry.lastAttempt();
        entry.report(EntryFixture.SIDECAR, firstAttempt, new AttemptState.NotStarted(reason));
        assertEquals(2, entry.dispatches().size());
        assertEquals(firstAttempt.attempt() + 1, entry.lastAttempt().attempt());
    }

    @ParameterizedTest
    @EnumSource(Repeatability.class)
    void unknownOutcomeIsRetriedOnlyForIdempotentRequests(Repeatability repeatability) {
        entry.linkSidecar(EntryFixture.SIDECAR, 8);
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
    void lostLinkDoesNotMoveTasksToAnotherSidecar() {
        startJob(1);
        entry.linkSidecar(EntryFixture.OTHER_SIDECAR, 8);
        entry.send(new EntryEvent.SidecarLost(EntryFixture.SIDECAR));
        entry.advance(Duration.ofMillis(500));
        assertEquals(1, entry.dispatches().size());
    }

    @Test
    void reconnectedSidecarIsAskedAndFencedTasksArePlacedAgain() {
        startJob(1);
        AttemptId firstAttempt = entry.lastAttempt();
        entry.send(new EntryEvent.SidecarLost(EntryFixture.SIDECAR));
        entry.linkSidecar(EntryFixture.SIDECAR, 8);
        assertEquals(
                firstAttempt,
                entry.commands(EntryMachineCommand.SendResolve.class).getFirst().attempt());
        entry.send(new EntryEvent.AttemptResolved(
                EntryFixture.SIDECAR, firstAttempt, new AttemptState.NotStarted(NotStartedReason.FENCED)));
        assertEquals(2, entry.dispatches().size());
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void permanentlyLostSidecarFailsTheJobAsMayHaveRun(boolean replaced) {
        startJob(1);
        entry.send(new EntryEvent.SidecarLost(EntryFixture.SIDECAR));
        if (replaced) {
            entry.linkSidecar(new ProcessId(EntryFixture.SIDECAR.name(), 2), 8);
        } else {
            entry.advance(EntryPolicy.DEFAULT.doubtTimeout());
        }
        assertFailed(onlyAnswer(), FailureReason.TASK_FAILED, Execution.MAY_HAVE_RUN);
        assertEquals(1, entry.dispatches().size());
    }

    @Test
    void passedDeadlineIsAnsweredAndOutstandingAttemptsAreCancelled() {
        startJob(1);
        entry.advance(Duration.ofSeconds(60));
        assertFailed(onlyAnswer(), FailureReason.DEADLINE, Execution.MAY_HAVE_RUN);
        assertEquals(1, entry.commands(EntryMachineCommand.SendCancels.class).size());
    }

    @Test
    void jobCancelledBeforeDispatchIsNotRunAndSendsNoMessage() {
        entry.submit(entry.job(100));
        entry.grantClaim();
        entry.send(new EntryEvent.CancelRequested(EntryFixture.ID));
        assertFailed(onlyAnswer(), FailureReason.CANCELLED, Execution.NOT_RUN);
        entry.linkSidecar(EntryFixture.SIDECAR, 8);
        assertTrue(entry.dispatches().isEmpty());
        assertTrue(entry.commands(EntryMachineCommand.SendCancels.class).isEmpty());
    }

    @Test
    void resubmissionOfAJobThatDidNotRunIsStarted() {
        entry.submit(entry.job(1));
        entry.grantClaim();
        entry.send(new EntryEvent.CancelRequested(EntryFixture.ID));
        entry.linkSidecar(EntryFixture.SIDECAR, 8);
        long firstRequest = entry.lastRequest();
        entry.submit(entry.job(1));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.ID, new ClaimResult.Granted(1, firstRequest)));
        assertEquals(1, entry.dispatches().size());
    }

    @Test
    void reportOfAnEarlierAttemptIsDropped() {
        startJob(1);
        AttemptId firstAttempt = entry.lastAttempt();
        entry.report(EntryFixture.SIDECAR, firstAttempt, new AttemptState.NotStarted(NotStartedReason.FULL));
        entry.report(EntryFixture.SIDECAR, firstAttempt, EntryFixture.completed("late"));
        assertTrue(entry.answers().isEmpty());
    }

    @Test
    void duplicateReportChangesNothing() {
        startJob(2);
        AttemptId firstAttempt = entry.dispatches().getFirst().attempt();
        entry.report(EntryFixture.SIDECAR, firstAttempt, EntryFixture.completed("1"));
        entry.report(EntryFixture.SIDECAR, firstAttempt, EntryFixture.completed("1"));
        assertTrue(entry.answers().isEmpty());
    }

    @Test
    void drainFinishesAcceptedSubmissions() {
        startJob(1);
        entry.send(new EntryEvent.DrainRequested());
        assertTrue(entry.commands(EntryMachineCommand.Drained.class).isEmpty());
        entry.report(EntryFixture.SIDECAR, entry.lastAttempt(), EntryFixture.completed("1"));
        assertInstanceOf(Answer.Complete.class, onlyAnswer());
        assertEquals(1, entry.commands(EntryMachineCommand.Drained.class).size());
    }

    @Test
    void nothingIsSentToASidecarAfterItsFarewellWasAnswered() {
        entry.linkSidecar(EntryFixture.SIDECAR, 8);
        entry.send(new EntryEvent.FarewellReceived(EntryFixture.SIDECAR));
        entry.submit(entry.job(1));
        entry.grantClaim();
        assertEquals(
                EntryFixture.SIDECAR,
                entry.commands(EntryMachineCommand.SendFarewell.class)
                        .getFirst()
                        .sidecar());
        assertTrue(entry.dispatches().isEmpty());
    }

    @Test
    void dispatchThatWasNotSentIsPlacedAgain() {
        startJob(1);
        entry.linkSidecar(EntryFixture.OTHER_SIDECAR, 8);
        AttemptId firstAttempt = entry.lastAttempt();
        entry.send(new EntryEvent.SidecarLost(EntryFixture.SIDECAR));
        entry.send(new EntryEvent.DispatchNotSent(EntryFixture.SIDECAR, List.of(firstAttempt)));
        assertEquals(2, entry.dispatches().size());
    }

    private void startJob(int tasks) {
        entry.linkSidecar(EntryFixture.SIDECAR, 8);
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
