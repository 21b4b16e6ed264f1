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
 * Adoption of one submission: collects the states of its attempts from the ledger of every sidecar that the lost owner
 * could have dispatched to.
 *
 * <p>Confined to the thread of the {@link EntryMachine}.
 */
final class SubmissionAdoption {
    private final long fence;
    private final Instant claimedAt;
    private final Instant deadline;
    private final Set<ProcessId> awaitedSidecars;
    private final Map<String, SidecarReport> reports = new HashMap<>();

    SubmissionAdoption(AdoptionResult.Adopted adopted, Instant deadline) {
        this.fence = adopted.fence();
        this.claimedAt = adopted.claimedAt();
        this.deadline = deadline;
        this.awaitedSidecars = new HashSet<>(adopted.sidecars());
    }

    /**
     * Ledger line of one sidecar for one task.
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

    Map<String, SidecarReport> reports() {
        return reports;
    }

    Set<ProcessId> awaitedSidecars() {
        return awaitedSidecars;
    }

    boolean isFinished(Instant now) {
        return awaitedSidecars.isEmpty() || !now.isBefore(deadline);
    }

    /** Adds a sidecar's reply; attempts that did not start are left out, so that their tasks may run here. */
    void add(EntryEvent.SubmissionFenced fenced) {
        if (fenced.fence() != fence || !awaitedSidecars.remove(fenced.sidecar())) {
            return;
        }
        for (AttemptReport report : fenced.reports()) {
            if (!(report.state() instanceof AttemptState.NotStarted)) {
                reports.put(report.attempt().key().task(), new SidecarReport(fenced.sidecar(), report));
            }
        }
    }
}
