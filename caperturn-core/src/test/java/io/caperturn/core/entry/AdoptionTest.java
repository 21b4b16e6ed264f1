package io.caperturn.core.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.core.model.Answer;
import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.NotStartedReason;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.TaskKey;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.model.TaskResult;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests the adoption of a job: an entry (a process that accepts submissions) replaces the claim of an owner that it
 * cannot reach by a claim with a higher fencing token, and runs the rest of the job.
 *
 * <p>Before the adopter starts a task, it fences the job at each sidecar process to which the owner could have
 * dispatched: the sidecar refuses dispatches with a lower fencing token and reports the ledger lines, the states of the
 * job's attempts.
 */
class AdoptionTest {
    private static final ProcessId OWNER = new ProcessId("entry-2", 7);
    private static final long OWNER_FENCE = 1;
    private static final long ADOPTER_FENCE = 2;

    private final EntryFixture entry = new EntryFixture();

    @Test
    void claimOfAnUnreachableOwnerIsAdopted() {
        submitJobWithTasksOfUnreachableOwner(2, entry.now());
        assertEquals(
                OWNER,
                entry.commandsOfType(EntryMachineCommand.AdoptClaim.class)
                        .getFirst()
                        .held()
                        .owner());
    }

    @Test
    void claimOlderThanTheMaximumAdoptableAgeIsNotAdopted() {
        submitJobWithTasksOfUnreachableOwner(
                1,
                entry.now()
                        .minus(EntryPolicy.DEFAULT.maximumAdoptableClaimAge())
                        .minusMillis(1));
        assertTrue(entry.commandsOfType(EntryMachineCommand.AdoptClaim.class).isEmpty());
        assertFailedAsMayHaveRun(FailureReason.OWNER_LOST);
    }

    @Test
    void failedAdoptionIsAnsweredImmediatelyAsMayHaveRun() {
        submitJobWithTasksOfUnreachableOwner(1, entry.now());
        entry.send(new EntryEvent.AdoptionSettled(EntryFixture.JOB, new AdoptionResult.Failed("store down")));
        assertFailedAsMayHaveRun(FailureReason.OWNER_LOST);
    }

    @Test
    void nothingStartsBeforeEverySidecarIsFenced() {
        adoptJobWithTasks(2, EntryFixture.SIDECAR, EntryFixture.OTHER_SIDECAR);
        receiveFenceReply(EntryFixture.SIDECAR);
        assertTrue(entry.dispatches().isEmpty());
        receiveFenceReply(EntryFixture.OTHER_SIDECAR);
        assertEquals(2, entry.dispatches().size());
        assertEquals(ADOPTER_FENCE, entry.lastAttempt().fence());
    }

    @Test
    void onlyTasksWithoutALedgerLineAreStarted() {
        adoptJobWithTasks(3, EntryFixture.SIDECAR);
        receiveFenceReply(
                EntryFixture.SIDECAR,
                ledgerLine("t1", EntryFixture.completed("1")),
                ledgerLine("t2", new AttemptState.Running()));
        assertEquals(1, entry.dispatches().size());
        assertEquals("t3", entry.lastAttempt().key().task());
        entry.report(EntryFixture.SIDECAR, ownerAttempt("t2"), EntryFixture.completed("2"));
        entry.report(EntryFixture.SIDECAR, entry.lastAttempt(), EntryFixture.completed("3"));
        assertEquals(
                new Answer.Complete(
                        List.of(new TaskResult("t1", "1"), new TaskResult("t2", "2"), new TaskResult("t3", "3"))),
                entry.answers().getFirst().answer());
    }

    @Test
    void taskWithANotStartedLineIsStarted() {
        adoptJobWithTasks(1, EntryFixture.SIDECAR);
        receiveFenceReply(
                EntryFixture.SIDECAR, ledgerLine("t1", new AttemptState.NotStarted(NotStartedReason.SUPERSEDED)));
        assertEquals(1, entry.dispatches().size());
    }

    @Test
    void jobFailsIfASidecarDoesNotReportItsLines() {
        adoptJobWithTasks(2, EntryFixture.SIDECAR, new ProcessId("gone", 1));
        receiveFenceReply(EntryFixture.SIDECAR, ledgerLine("t1", EntryFixture.completed("1")));
        entry.advance(EntryPolicy.DEFAULT.adoptionTimeout());
        assertTrue(entry.dispatches().isEmpty());
        Answer.Failed failed =
                assertInstanceOf(Answer.Failed.class, entry.answers().getFirst().answer());
        assertEquals(FailureReason.OWNER_LOST, failed.reason());
        assertEquals(Execution.RAN, failed.execution());
    }

    @Test
    void jobWithAllResultsIsCompleteAlthoughASidecarIsLost() {
        adoptJobWithTasks(1, EntryFixture.SIDECAR, new ProcessId("gone", 1));
        receiveFenceReply(EntryFixture.SIDECAR, ledgerLine("t1", EntryFixture.completed("1")));
        entry.advance(EntryPolicy.DEFAULT.adoptionTimeout());
        assertInstanceOf(Answer.Complete.class, entry.answers().getFirst().answer());
    }

    @Test
    void taskThatFailedUnderTheOwnerFailsTheJob() {
        adoptJobWithTasks(1, EntryFixture.SIDECAR);
        TaskOutcome failed = new TaskOutcome.Failed(Execution.MAY_HAVE_RUN, "reset", Duration.ZERO);
        receiveFenceReply(EntryFixture.SIDECAR, ledgerLine("t1", new AttemptState.Done(failed)));
        assertFailedAsMayHaveRun(FailureReason.TASK_FAILED);
    }

    @Test
    void supersededOwnerRelaysToTheAdopter() {
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 1);
        entry.submit(entry.jobWithTasks(2));
        entry.grantClaim();
        entry.report(
                EntryFixture.SIDECAR, entry.lastAttempt(), new AttemptState.NotStarted(NotStartedReason.SUPERSEDED));
        assertEquals(
                2, entry.commandsOfType(EntryMachineCommand.RequestClaim.class).size());
        assertEquals(1, entry.dispatches().size());
        entry.send(new EntryEvent.ClaimSettled(
                EntryFixture.JOB,
                new ClaimResult.HeldByOther(OWNER, "127.0.0.1:1", /* fence= */ 2, "digest", entry.now())));
        assertEquals(
                1, entry.commandsOfType(EntryMachineCommand.RelayToOwner.class).size());
    }

    /** Submits a job that another entry has claimed, and reports that this owner can't be reached. */
    private void submitJobWithTasksOfUnreachableOwner(int tasks, Instant claimedAt) {
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 8);
        entry.submit(entry.jobWithTasks(tasks));
        entry.send(new EntryEvent.ClaimSettled(
                EntryFixture.JOB, new ClaimResult.HeldByOther(OWNER, "127.0.0.1:1", OWNER_FENCE, "digest", claimedAt)));
        entry.send(new EntryEvent.RelaySettled(EntryFixture.JOB, new RelayResult.OwnerUnreachable("gone")));
    }

    /** Adopts a job of an unreachable owner, up to the fence requests to the sidecars, which have not replied yet. */
    private void adoptJobWithTasks(int tasks, ProcessId... sidecarsOfOwner) {
        submitJobWithTasksOfUnreachableOwner(tasks, entry.now());
        entry.send(new EntryEvent.AdoptionSettled(
                EntryFixture.JOB, new AdoptionResult.Adopted(ADOPTER_FENCE, entry.now(), Set.of(sidecarsOfOwner))));
        assertEquals(
                sidecarsOfOwner.length,
                entry.commandsOfType(EntryMachineCommand.SendFence.class).size());
    }

    private void receiveFenceReply(ProcessId sidecar, AttemptReport... lines) {
        entry.send(new EntryEvent.SubmissionFenced(sidecar, EntryFixture.JOB, ADOPTER_FENCE, List.of(lines)));
    }

    private static AttemptReport ledgerLine(String task, AttemptState state) {
        return new AttemptReport(ownerAttempt(task), state);
    }

    private static AttemptId ownerAttempt(String task) {
        return new AttemptId(new TaskKey(EntryFixture.JOB, task), OWNER_FENCE, /* attempt= */ 1);
    }

    private void assertFailedAsMayHaveRun(FailureReason reason) {
        Answer.Failed failed =
                assertInstanceOf(Answer.Failed.class, entry.answers().getFirst().answer());
        assertEquals(reason, failed.reason());
        assertEquals(Execution.MAY_HAVE_RUN, failed.execution());
    }
}
