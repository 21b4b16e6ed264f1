package io.caperturn.core.entry;

import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.ProcessId;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Adoption of one submission by this entry process, after the entry that owned the submission was lost: collects the
 * states of its attempts from every sidecar to which the lost owner could have dispatched.
 *
 * <p>A sidecar is the process that starts attempts at an upstream and records them in its ledger. It replies to the
 * fence request of this entry, and refuses attempts with a lower fencing token from then on. Confined to the thread of
 * the {@link EntryMachine}.
 */
final class SubmissionAdoption {
    private final long fence;
    private final Instant claimedAt;
    private final Instant replyDeadline;
    private final Set<ProcessId> awaitedSidecars;
    private final Map<String, SidecarReport> reportsByTask = new HashMap<>();

    SubmissionAdoption(AdoptionResult.Adopted adopted, Instant replyDeadline) {
        this.fence = adopted.fence();
        this.claimedAt = adopted.claimedAt();
        this.replyDeadline = replyDeadline;
        this.awaitedSidecars = new HashSet<>(adopted.sidecars());
    }

    /**
     * State of a task's attempt at one sidecar.
     *
     * @param sidecar the sidecar
     * @param report the state of the attempt in that sidecar's ledger
     */
    record SidecarReport(ProcessId sidecar, AttemptReport report) {}

    long fence() {
        return fence;
    }

    Instant claimedAt() {
        return claimedAt;
    }

    /** Returns the reported attempts that started or may still start, by task id. */
    Map<String, SidecarReport> reportsByTask() {
        return reportsByTask;
    }

    Set<ProcessId> awaitedSidecars() {
        return awaitedSidecars;
    }

    /** Returns whether every sidecar has replied or the time for replies is over. */
    boolean isReadyToFinish(Instant now) {
        return awaitedSidecars.isEmpty() || !now.isBefore(replyDeadline);
    }

    /** Adds a sidecar's reply, without the attempts that will never start there; their tasks are run by this entry. */
    void addFenceReply(EntryEvent.SubmissionFenced fenced) {
        if (fenced.fence() != fence || !awaitedSidecars.remove(fenced.sidecar())) {
            return;
        }
        for (AttemptReport report : fenced.reports()) {
            if (!(report.state() instanceof AttemptState.NotStarted)) {
                reportsByTask.put(report.attempt().key().task(), new SidecarReport(fenced.sidecar(), report));
            }
        }
    }
}
