package io.caperturn.core.sidecar;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.ProcessId;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Line of the {@link Ledger}: what became of one attempt, and which entries wait for its end.
 *
 * <p>Confined to the thread of the {@link SidecarMachine}.
 */
final class LedgerLine {
    private static final int ASKER_LIMIT = 4;

    private final AttemptId attempt;
    private AttemptState state;
    private Instant changedAt;
    private List<Asker> askers = List.of();

    LedgerLine(AttemptId attempt, AttemptState state, Instant changedAt) {
        this.attempt = attempt;
        this.state = state;
        this.changedAt = changedAt;
    }

    AttemptId attempt() {
        return attempt;
    }

    AttemptState state() {
        return state;
    }

    Instant changedAt() {
        return changedAt;
    }

    /** Returns the entries that wait for the end; empty once it ended. */
    List<Asker> askers() {
        return askers;
    }

    AttemptReport report() {
        return new AttemptReport(attempt, state);
    }

    boolean hasEnded() {
        return state instanceof AttemptState.Done || state instanceof AttemptState.NotStarted;
    }

    boolean isNotStarted() {
        return state instanceof AttemptState.NotStarted;
    }

    /** Says whether a later attempt goes before this one, by fence and then by number. */
    boolean isOlderThan(AttemptId other) {
        return attempt.fence() < other.fence()
                || (attempt.fence() == other.fence() && attempt.attempt() < other.attempt());
    }

    /** Notes who waits for the end; beyond the limit the first and the newest are kept. */
    void ask(ProcessId entry, AttemptId as) {
        Asker asker = new Asker(entry, as);
        if (hasEnded() || askers.contains(asker)) {
            return;
        }
        List<Asker> more = new ArrayList<>(askers);
        if (more.size() == ASKER_LIMIT) {
            more.remove(1);
        }
        more.add(asker);
        askers = List.copyOf(more);
    }

    /** Changes the state and returns who is to be told if that ends the attempt. */
    List<Asker> change(AttemptState next, Instant now) {
        state = next;
        changedAt = now;
        if (!hasEnded()) {
            return List.of();
        }
        List<Asker> told = askers;
        askers = List.of();
        return told;
    }

    /**
     * An entry that waits for the end of an attempt.
     *
     * @param entry the entry
     * @param as the attempt under which it asked
     */
    record Asker(ProcessId entry, AttemptId as) {}
}
