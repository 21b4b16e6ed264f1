package io.caperturn.core.sidecar;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.ProcessId;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

/**
 * Line of the {@link Ledger}: the state of one attempt to run a task, and the entries (processes that accept
 * submissions) to notify when the attempt finishes, called subscribers.
 *
 * <p>Confined to the thread of the {@link SidecarMachine}.
 */
final class LedgerLine {
    private static final int MAXIMUM_SUBSCRIBERS = 4;

    private final AttemptId attempt;
    private AttemptState state;
    private Instant changedAt;
    private List<Subscriber> subscribers = List.of();

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

    /** Returns the subscribers; empty once the attempt has finished. */
    List<Subscriber> subscribers() {
        return subscribers;
    }

    AttemptReport toReport() {
        return new AttemptReport(attempt, state);
    }

    boolean isFinished() {
        return state instanceof AttemptState.Done || state instanceof AttemptState.NotStarted;
    }

    /** Returns whether the attempt did not start and never will. */
    boolean isNotStarted() {
        return state instanceof AttemptState.NotStarted;
    }

    /** Returns whether the attempt of this line is older than another, by fencing token and then by attempt number. */
    boolean isOlderThan(AttemptId other) {
        return attempt.fence() < other.fence()
                || (attempt.fence() == other.fence() && attempt.attempt() < other.attempt());
    }

    /**
     * Adds a subscriber. At the maximum number of subscribers, the second oldest one is removed, so that the first and
     * the newest ones are kept.
     *
     * @param entry the entry to notify when the attempt finishes
     * @param namedAttempt the attempt that the entry named; the notification names it in turn
     */
    void subscribe(ProcessId entry, AttemptId namedAttempt) {
        Subscriber subscriber = new Subscriber(entry, namedAttempt);
        if (isFinished() || subscribers.contains(subscriber)) {
            return;
        }
        List<Subscriber> updated = new ArrayList<>(subscribers);
        if (updated.size() == MAXIMUM_SUBSCRIBERS) {
            updated.remove(1);
        }
        updated.add(subscriber);
        subscribers = List.copyOf(updated);
    }

    /** Changes the state and, if the attempt is then finished, removes and returns the subscribers to notify. */
    List<Subscriber> changeState(AttemptState newState, Instant now) {
        state = newState;
        changedAt = now;
        if (!isFinished()) {
            return List.of();
        }
        List<Subscriber> notified = subscribers;
        subscribers = List.of();
        return notified;
    }

    /**
     * An entry that is notified when an attempt finishes.
     *
     * @param entry the entry
     * @param attempt the attempt that the entry named; it is at the same task, but can differ from that of the line
     */
    record Subscriber(ProcessId entry, AttemptId attempt) {}
}
