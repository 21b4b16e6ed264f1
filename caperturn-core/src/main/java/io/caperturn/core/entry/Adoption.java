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
 * Ledgers' lines of one submission as they come in from the sidecars that its lost owner could have used.
 *
 * <p>Confined to the thread of the {@link EntryMachine}.
 */
final class Adoption {
    private final long fence;
    private final Instant claimedAt;
    private final Instant giveUpAt;
    private final Set<ProcessId> awaited;
    private final Map<String, Line> lines = new HashMap<>();

    Adoption(AdoptionResult.Adopted adopted, Instant giveUpAt) {
        this.fence = adopted.fence();
        this.claimedAt = adopted.claimedAt();
        this.giveUpAt = giveUpAt;
        this.awaited = new HashSet<>(adopted.sidecars());
    }

    /**
     * What one sidecar's ledger holds of a task.
     *
     * @param sidecar the sidecar
     * @param report its line
     */
    record Line(ProcessId sidecar, AttemptReport report) {}

    long fence() {
        return fence;
    }

    Instant claimedAt() {
        return claimedAt;
    }

    Map<String, Line> lines() {
        return lines;
    }

    Set<ProcessId> awaited() {
        return awaited;
    }

    boolean isSettled(Instant now) {
        return awaited.isEmpty() || !now.isBefore(giveUpAt);
    }

    void add(EntryEvent.SubmissionFenced fenced) {
        if (fenced.fence() != fence || !awaited.remove(fenced.sidecar())) {
            return;
        }
        for (AttemptReport report : fenced.reports()) {
            if (!(report.state() instanceof AttemptState.NotStarted)) {
                lines.put(report.attempt().key().task(), new Line(fenced.sidecar(), report));
            }
        }
    }
}
