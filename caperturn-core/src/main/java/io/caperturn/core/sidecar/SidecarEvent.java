package io.caperturn.core.sidecar;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.model.UpstreamDescription;
import java.time.Duration;
import java.util.List;

/** What a {@link SidecarMachine} reacts to. */
public sealed interface SidecarEvent {
    /**
     * The upstream announced itself.
     *
     * @param upstream what it announced
     * @param leaving true if it asked for no more work
     */
    record UpstreamAnnounced(UpstreamDescription upstream, boolean leaving) implements SidecarEvent {}

    /**
     * The link of an entry opened.
     *
     * @param entry the entry, by incarnation
     */
    record EntryLinked(ProcessId entry) implements SidecarEvent {}

    /**
     * The link of an entry closed or fell silent.
     *
     * @param entry the entry, by incarnation
     */
    record EntryLost(ProcessId entry) implements SidecarEvent {}

    /**
     * An entry dispatched attempts.
     *
     * @param entry the sender
     * @param addressee the sidecar incarnation that the dispatch names
     * @param dispatches the attempts
     * @param demand how many more tasks wait at the entry for this sidecar
     */
    record DispatchReceived(ProcessId entry, ProcessId addressee, List<ReceivedDispatch> dispatches, int demand)
            implements SidecarEvent {
        /** Copies the dispatches. */
        public DispatchReceived {
            dispatches = List.copyOf(dispatches);
        }
    }

    /**
     * An entry told how many tasks wait there.
     *
     * @param entry the sender
     * @param demand how many tasks wait at the entry for this sidecar
     */
    record DemandReceived(ProcessId entry, int demand) implements SidecarEvent {}

    /**
     * An entry asked what became of an attempt.
     *
     * @param entry the sender
     * @param addressee the sidecar incarnation that the request names
     * @param attempt the attempt; fenced here if it has not started
     */
    record ResolveReceived(ProcessId entry, ProcessId addressee, AttemptId attempt) implements SidecarEvent {}

    /**
     * An entry no longer wants attempts.
     *
     * @param entry the sender
     * @param attempts the attempts
     */
    record CancelReceived(ProcessId entry, List<AttemptId> attempts) implements SidecarEvent {
        /** Copies the attempts. */
        public CancelReceived {
            attempts = List.copyOf(attempts);
        }
    }

    /**
     * An entry adopts a submission: lower fences are refused from now on, and the ledger's lines are reported.
     *
     * @param entry the sender
     * @param submission the submission
     * @param fence the adopter's fence number
     */
    record FenceReceived(ProcessId entry, SubmissionId submission, long fence) implements SidecarEvent {}

    /**
     * A run at the upstream ended.
     *
     * @param attempt the attempt
     * @param outcome how it ended
     */
    record RunEnded(AttemptId attempt, TaskOutcome outcome) implements SidecarEvent {}

    /**
     * A newer table is known.
     *
     * @param table the table
     */
    record TableChanged(Table table) implements SidecarEvent {}

    /** A planned stop began. */
    record DrainRequested() implements SidecarEvent {}

    /** Time passed; sent at a regular interval. */
    record Tick() implements SidecarEvent {}

    /**
     * One attempt as a dispatch brought it.
     *
     * @param attempt the attempt
     * @param kind the kind of work
     * @param payload the body for the upstream
     * @param claimAge the time since the claim was granted, as the sender knew it
     * @param timeout the longest time that the task may run
     */
    record ReceivedDispatch(AttemptId attempt, String kind, String payload, Duration claimAge, Duration timeout) {}
}
