package io.caperturn.core.entry;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.NotStartedReason;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TaskKey;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.approvaltests.Approvals;
import org.approvaltests.core.Options;
import org.approvaltests.reporters.QuietReporter;
import org.junit.jupiter.api.Test;

/**
 * Runs whole sessions of an entry (a process that accepts submissions) in virtual time, and compares the transcript of
 * its events and commands with the approved files. A claim makes one entry the owner of a submission.
 */
class EntrySessionTest {
    private static final Duration STEP = Duration.ofMillis(50);
    private static final ProcessId LOST_OWNER = new ProcessId("entry-2", 7);

    private final EntryFixture entry = new EntryFixture();

    @Test
    void normalJob() {
        startJobWithTasks(3);
        completeAll();
        verify();
    }

    @Test
    void resubmission() {
        startJobWithTasks(2);
        entry.resubmit(entry.jobWithTasks(2));
        completeAll();
        entry.resubmit(entry.jobWithTasks(2));
        verify();
    }

    @Test
    void resolveAfterLostLink() {
        startJobWithTasks(2);
        List<EntryMachineCommand.Dispatch> dispatches = entry.dispatches();
        entry.send(new EntryEvent.SidecarLost(EntryFixture.SIDECAR));
        entry.advance(STEP);
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 8);
        entry.send(new EntryEvent.AttemptResolved(
                EntryFixture.SIDECAR, dispatches.get(0).attempt(), EntryFixture.completed("1")));
        entry.send(new EntryEvent.AttemptResolved(
                EntryFixture.SIDECAR,
                dispatches.get(1).attempt(),
                new AttemptState.NotStarted(NotStartedReason.FENCED)));
        entry.report(EntryFixture.SIDECAR, entry.lastAttempt(), EntryFixture.completed("2"));
        verify();
    }

    @Test
    void adoption() {
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 8);
        entry.resubmit(entry.jobWithTasks(2));
        entry.send(new EntryEvent.ClaimSettled(
                EntryFixture.JOB,
                new ClaimResult.HeldByOther(LOST_OWNER, "127.0.0.1:1", /* fence= */ 1, "digest", entry.now())));
        entry.send(new EntryEvent.RelaySettled(EntryFixture.JOB, new RelayResult.OwnerUnreachable("gone")));
        entry.send(new EntryEvent.AdoptionSettled(
                EntryFixture.JOB,
                new AdoptionResult.Adopted(/* fence= */ 2, entry.now(), Set.of(EntryFixture.SIDECAR))));
        AttemptId ownerAttempt = new AttemptId(new TaskKey(EntryFixture.JOB, "t1"), /* fence= */ 1, /* attempt= */ 1);
        entry.send(new EntryEvent.SubmissionFenced(
                EntryFixture.SIDECAR,
                EntryFixture.JOB,
                /* fence= */ 2,
                List.of(new AttemptReport(ownerAttempt, EntryFixture.completed("1")))));
        entry.advance(STEP);
        entry.report(EntryFixture.SIDECAR, entry.lastAttempt(), EntryFixture.completed("2"));
        verify();
    }

    @Test
    void drain() {
        startJobWithTasks(1);
        entry.send(new EntryEvent.DrainRequested());
        entry.resubmit(entry.submission(io.caperturn.core.model.Repeatability.IDEMPOTENT, /* tasks= */ 1, "other"));
        completeAll();
        verify();
    }

    @Test
    void tablesOutOfOrder() {
        entry.send(new EntryEvent.TableChanged(table(3)));
        entry.send(new EntryEvent.TableChanged(table(2)));
        startJobWithTasks(1);
        completeAll();
        verify();
    }

    /** Returns a version of the operators' table; its kind has a task time-out of as many seconds as the version. */
    private static Table table(long version) {
        KindRow row = new KindRow(
                EntryFixture.KIND, /* weight= */ 1, Urgency.URGENT, Limits.NONE, Duration.ofSeconds(version), version);
        return new Table(version, Map.of(EntryFixture.KIND, row), Map.of());
    }

    private void startJobWithTasks(int tasks) {
        entry.linkSidecarWithWindow(EntryFixture.SIDECAR, 8);
        entry.submit(entry.jobWithTasks(tasks));
        entry.advance(STEP);
        entry.grantClaim();
        entry.advance(STEP);
    }

    /** Reports a result for each dispatched task. */
    private void completeAll() {
        for (EntryMachineCommand.Dispatch dispatch : entry.dispatches()) {
            entry.report(
                    EntryFixture.SIDECAR,
                    dispatch.attempt(),
                    EntryFixture.completed(dispatch.attempt().key().task()));
        }
    }

    private void verify() {
        Approvals.verify(entry.transcript(), new Options().withReporter(new QuietReporter()));
    }
}
