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
 * Tests when an entry (a process that accepts submissions) dispatches the tasks of a submission to sidecars, the
 * processes that start tasks at the upstreams, and how it answers the clients.
 *
 * <p>A claim is the record in the store that makes one entry the owner of a submission; idempotent submissions need no
 * claim. Claim requests are numbered, and a granted claim names the request that wrote it.
 */
class EntryMachineTest {
    private final EntryFixture entry = new EntryFixture();

    @Test
    void nothingStartsBeforeTheClaimIsGranted() {
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 8);
        entry.submit(entry.jobWithTasks(2));
        assertTrue(entry.dispatches().isEmpty());
        entry.grantClaim();
        assertEquals(2, entry.dispatches().size());
    }

    @Test
    void completeAnswerHasAllResultsInOrderOfTheTasks() {
        dispatchJobWithTasks(2);
        List<EntryMachineCommand.Dispatch> dispatches = entry.dispatches();
        entry.report(EntryFixture.SIDECAR, dispatches.get(1).attempt(), EntryFixture.completed("2"));
        assertTrue(entry.answers().isEmpty());
        entry.report(EntryFixture.SIDECAR, dispatches.get(0).attempt(), EntryFixture.completed("1"));
        Answer expected = new Answer.Complete(List.of(new TaskResult("t1", "1"), new TaskResult("t2", "2")));
        assertEquals(expected, getOnlyAnswer());
    }

    @Test
    void resubmissionOfARunningJobStartsNothingAndGetsTheSameAnswer() {
        dispatchJobWithTasks(1);
        entry.submit(entry.jobWithTasks(1));
        entry.report(EntryFixture.SIDECAR, entry.lastAttempt(), EntryFixture.completed("1"));
        assertEquals(1, entry.dispatches().size());
        assertEquals(List.of(1L, 2L), entry.answers().getLast().waiters());
    }

    @Test
    void resubmissionOfAnAnsweredJobGetsTheKeptAnswerWithoutAStart() {
        dispatchJobWithTasks(1);
        entry.report(EntryFixture.SIDECAR, entry.lastAttempt(), EntryFixture.completed("1"));
        entry.submit(entry.jobWithTasks(1));
        assertEquals(1, entry.dispatches().size());
        assertEquals(entry.answers().get(0).answer(), entry.answers().get(1).answer());
    }

    @Test
    void sameKeyWithAnotherBodyIsAConflict() {
        dispatchJobWithTasks(1);
        entry.submit(entry.submission(Repeatability.AT_MOST_ONCE, /* tasks= */ 1, /* digest= */ "another"));
        assertFailed(getOnlyAnswer(), FailureReason.DIGEST_CONFLICT, Execution.NOT_RUN);
    }

    @Test
    void unavailableStoreIsAnsweredAsAttemptNotRun() {
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 8);
        entry.submit(entry.jobWithTasks(1));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.JOB, new ClaimResult.Unavailable("down")));
        assertFailed(getOnlyAnswer(), FailureReason.STORE_UNAVAILABLE, Execution.ATTEMPT_NOT_RUN);
        assertTrue(((Answer.Failed) getOnlyAnswer()).retryAfter().isPresent());
        assertTrue(entry.dispatches().isEmpty());
    }

    @Test
    void claimGrantedAfterARefusalStartsNothing() {
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 8);
        entry.submit(entry.jobWithTasks(1));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.JOB, new ClaimResult.Unavailable("slow")));
        entry.grantClaim();
        assertTrue(entry.dispatches().isEmpty());
    }

    @ParameterizedTest
    @CsvSource({"true, 1", "false, 0"})
    void resubmissionUnderAnOwnClaimRunsOnlyIfNothingStartedUnderIt(
            boolean isClaimWrittenByRefusedRequest, int starts) {
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 8);
        entry.submit(entry.jobWithTasks(1));
        long firstRequest = entry.lastClaimRequest();
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.JOB, new ClaimResult.Unavailable("reply lost")));
        entry.submit(entry.jobWithTasks(1));
        entry.send(new EntryEvent.ClaimSettled(
                EntryFixture.JOB,
                new ClaimResult.Granted(
                        /* fence= */ 1, isClaimWrittenByRefusedRequest ? firstRequest : firstRequest - 1)));
        assertEquals(starts, entry.dispatches().size());
    }

    @Test
    void jobThatRanIsNotRunAgainAfterItsAnswerExpiredAndTheStoreFailed() {
        dispatchJobWithTasks(1);
        long firstRequest = entry.lastClaimRequest();
        entry.report(EntryFixture.SIDECAR, entry.lastAttempt(), EntryFixture.completed("1"));
        entry.advance(EntryPolicy.DEFAULT.answerRetention());
        entry.resubmit(entry.jobWithTasks(1));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.JOB, new ClaimResult.Unavailable("down")));
        assertFailed(entry.answers().getLast().answer(), FailureReason.STORE_UNAVAILABLE, Execution.MAY_HAVE_RUN);
        entry.resubmit(entry.jobWithTasks(1));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.JOB, new ClaimResult.Granted(1, firstRequest)));
        assertFailed(entry.answers().getLast().answer(), FailureReason.ANSWER_EXPIRED, Execution.MAY_HAVE_RUN);
        assertEquals(1, entry.dispatches().size());
    }

    @Test
    void grantOfAnEarlierRequestWithAnotherBodyStartsNothing() {
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 8);
        entry.submit(entry.jobWithTasks(1));
        long firstRequest = entry.lastClaimRequest();
        entry.send(new EntryEvent.CancelRequested(EntryFixture.JOB));
        entry.submit(entry.submission(Repeatability.AT_MOST_ONCE, 1, "another"));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.JOB, new ClaimResult.Granted(1, firstRequest)));
        assertTrue(entry.dispatches().isEmpty());
    }

    @Test
    void refusedResubmissionIsAnsweredAsMayHaveRun() {
        entry.send(new EntryEvent.DrainRequested());
        entry.resubmit(entry.jobWithTasks(1));
        assertFailed(getOnlyAnswer(), FailureReason.DRAINING, Execution.MAY_HAVE_RUN);
    }

    @Test
    void submissionClaimedByAnotherEntryIsRelayedAndAnswered() {
        entry.submit(entry.jobWithTasks(1));
        ProcessId owner = new ProcessId("entry-2", 7);
        entry.send(new EntryEvent.ClaimSettled(
                EntryFixture.JOB,
                new ClaimResult.HeldByOther(owner, "127.0.0.1:1", /* fence= */ 1, "digest", entry.now())));
        assertEquals(
                owner,
                entry.commandsOfType(EntryMachineCommand.RelayToOwner.class)
                        .getFirst()
                        .owner());
        Answer answer = new Answer.Complete(List.of(new TaskResult("t1", "1")));
        entry.send(new EntryEvent.RelaySettled(EntryFixture.JOB, new RelayResult.Answered(answer)));
        assertEquals(answer, getOnlyAnswer());
    }

    @ParameterizedTest
    @EnumSource(value = NotStartedReason.class, mode = EnumSource.Mode.EXCLUDE, names = "SUPERSEDED")
    void taskOfAnAttemptThatDidNotStartIsPlacedAgain(NotStartedReason reason) {
        dispatchJobWithTasks(1);
        AttemptId firstAttempt = entry.lastAttempt();
        entry.report(EntryFixture.SIDECAR, firstAttempt, new AttemptState.NotStarted(reason));
        assertEquals(2, entry.dispatches().size());
        assertEquals(firstAttempt.attempt() + 1, entry.lastAttempt().attempt());
    }

    @ParameterizedTest
    @EnumSource(Repeatability.class)
    void unknownOutcomeIsRetriedOnlyForIdempotentRequests(Repeatability repeatability) {
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 8);
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
            assertFailed(getOnlyAnswer(), FailureReason.TASK_FAILED, Execution.MAY_HAVE_RUN);
        }
    }

    @Test
    void lostLinkDoesNotMoveTasksToAnotherSidecar() {
        dispatchJobWithTasks(1);
        entry.linkSidecarWithWindow(EntryFixture.OTHER_SIDECAR, 8);
        entry.send(new EntryEvent.SidecarLost(EntryFixture.SIDECAR));
        entry.advance(Duration.ofMillis(500));
        assertEquals(1, entry.dispatches().size());
    }

    @Test
    void reconnectedSidecarIsAskedAndTasksThatCannotStartThereArePlacedAgain() {
        dispatchJobWithTasks(1);
        AttemptId firstAttempt = entry.lastAttempt();
        entry.send(new EntryEvent.SidecarLost(EntryFixture.SIDECAR));
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 8);
        assertEquals(
                firstAttempt,
                entry.commandsOfType(EntryMachineCommand.SendResolve.class)
                        .getFirst()
                        .attempt());
        entry.send(new EntryEvent.AttemptResolved(
                EntryFixture.SIDECAR, firstAttempt, new AttemptState.NotStarted(NotStartedReason.FENCED)));
        assertEquals(2, entry.dispatches().size());
    }

    @ParameterizedTest
    @CsvSource({"true", "false"})
    void permanentlyLostSidecarFailsTheJobAsMayHaveRun(boolean replaced) {
        dispatchJobWithTasks(1);
        entry.send(new EntryEvent.SidecarLost(EntryFixture.SIDECAR));
        if (replaced) {
            entry.linkSidecarWithWindow(new ProcessId(EntryFixture.SIDECAR.name(), 2), 8);
        } else {
            entry.advance(EntryPolicy.DEFAULT.sidecarReconnectTimeout());
        }
        assertFailed(getOnlyAnswer(), FailureReason.TASK_FAILED, Execution.MAY_HAVE_RUN);
        assertEquals(1, entry.dispatches().size());
    }

    @Test
    void jobPastItsDeadlineIsAnsweredAndItsOutstandingAttemptsAreCancelled() {
        dispatchJobWithTasks(1);
        entry.advance(Duration.ofSeconds(60));
        assertFailed(getOnlyAnswer(), FailureReason.DEADLINE, Execution.MAY_HAVE_RUN);
        assertEquals(
                1, entry.commandsOfType(EntryMachineCommand.SendCancels.class).size());
    }

    @Test
    void jobCancelledBeforeDispatchIsNotRunAndSendsNoMessage() {
        entry.submit(entry.jobWithTasks(100));
        entry.grantClaim();
        entry.send(new EntryEvent.CancelRequested(EntryFixture.JOB));
        assertFailed(getOnlyAnswer(), FailureReason.CANCELLED, Execution.NOT_RUN);
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 8);
        assertTrue(entry.dispatches().isEmpty());
        assertTrue(entry.commandsOfType(EntryMachineCommand.SendCancels.class).isEmpty());
    }

    @Test
    void resubmissionOfAJobThatDidNotRunIsStarted() {
        entry.submit(entry.jobWithTasks(1));
        entry.grantClaim();
        entry.send(new EntryEvent.CancelRequested(EntryFixture.JOB));
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 8);
        long firstRequest = entry.lastClaimRequest();
        entry.submit(entry.jobWithTasks(1));
        entry.send(new EntryEvent.ClaimSettled(EntryFixture.JOB, new ClaimResult.Granted(1, firstRequest)));
        assertEquals(1, entry.dispatches().size());
    }

    @Test
    void reportOfAnEarlierAttemptIsDropped() {
        dispatchJobWithTasks(1);
        AttemptId firstAttempt = entry.lastAttempt();
        entry.report(EntryFixture.SIDECAR, firstAttempt, new AttemptState.NotStarted(NotStartedReason.FULL));
        entry.report(EntryFixture.SIDECAR, firstAttempt, EntryFixture.completed("late"));
        assertTrue(entry.answers().isEmpty());
    }

    @Test
    void duplicateReportChangesNothing() {
        dispatchJobWithTasks(2);
        AttemptId firstAttempt = entry.dispatches().getFirst().attempt();
        entry.report(EntryFixture.SIDECAR, firstAttempt, EntryFixture.completed("1"));
        entry.report(EntryFixture.SIDECAR, firstAttempt, EntryFixture.completed("1"));
        assertTrue(entry.answers().isEmpty());
    }

    @Test
    void drainFinishesAcceptedSubmissions() {
        dispatchJobWithTasks(1);
        entry.send(new EntryEvent.DrainRequested());
        assertTrue(entry.commandsOfType(EntryMachineCommand.Drained.class).isEmpty());
        entry.report(EntryFixture.SIDECAR, entry.lastAttempt(), EntryFixture.completed("1"));
        assertInstanceOf(Answer.Complete.class, getOnlyAnswer());
        assertEquals(1, entry.commandsOfType(EntryMachineCommand.Drained.class).size());
    }

    @Test
    void nothingIsSentToASidecarAfterItsFarewellWasAnswered() {
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 8);
        entry.send(new EntryEvent.FarewellReceived(EntryFixture.SIDECAR));
        entry.submit(entry.jobWithTasks(1));
        entry.grantClaim();
        assertEquals(
                EntryFixture.SIDECAR,
                entry.commandsOfType(EntryMachineCommand.SendFarewell.class)
                        .getFirst()
                        .sidecar());
        assertTrue(entry.dispatches().isEmpty());
    }

    @Test
    void dispatchThatWasNotSentIsPlacedAgain() {
        dispatchJobWithTasks(1);
        entry.linkSidecarWithWindow(EntryFixture.OTHER_SIDECAR, 8);
        AttemptId firstAttempt = entry.lastAttempt();
        entry.send(new EntryEvent.SidecarLost(EntryFixture.SIDECAR));
        entry.send(new EntryEvent.DispatchNotSent(EntryFixture.SIDECAR, List.of(firstAttempt)));
        assertEquals(2, entry.dispatches().size());
    }

    /** Links a sidecar and submits a job under a granted claim, so that its tasks are dispatched. */
    private void dispatchJobWithTasks(int tasks) {
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 8);
        entry.submit(entry.jobWithTasks(tasks));
        entry.grantClaim();
    }

    private Answer getOnlyAnswer() {
        assertEquals(1, entry.answers().size());
        return entry.answers().getFirst().answer();
    }

    private static void assertFailed(Answer answer, FailureReason reason, Execution execution) {
        Answer.Failed failed = assertInstanceOf(Answer.Failed.class, answer);
        assertEquals(reason, failed.reason());
        assertEquals(execution, failed.execution());
    }
}
