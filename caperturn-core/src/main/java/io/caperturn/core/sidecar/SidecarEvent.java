package io.caperturn.core.sidecar;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.model.UpstreamDescription;
import java.time.Duration;
import java.util.List;

/**
 * Input event of a {@link SidecarMachine}.
 *
 * <p>An entry is a process that accepts submissions and dispatches attempts to run their tasks to sidecars. Entries are
 * identified by name and incarnation.
 */
public sealed interface SidecarEvent {
    /**
     * The upstream announced itself.
     *
     * @param upstream the announced description
     * @param leaving true if it asked for no more work
     */
    record UpstreamAnnounced(UpstreamDescription upstream, boolean leaving) implements SidecarEvent {}

    /**
     * The link of an entry opened.
     *
     * @param entry the entry
     */
    record EntryLinked(ProcessId entry) implements SidecarEvent {}

    /**
     * The link of an entry closed or timed out.
     *
     * @param entry the entry
     */
    record EntryLost(ProcessId entry) implements SidecarEvent {}

    /**
     * An entry dispatched attempts.
     *
     * @param entry the sender
     * @param addressee the sidecar incarnation that the dispatch names
     * @param dispatches the attempts
     * @param demand the number of further tasks that wait at the entry and could run at this sidecar
     */
    record DispatchReceived(ProcessId entry, ProcessId addressee, List<ReceivedDispatch> dispatches, int demand)
            implements SidecarEvent {
        /** Copies the dispatches. */
        public DispatchReceived {
            dispatches = List.copyOf(dispatches);
        }
    }

    /**
     * An entry reported how many tasks wait there for this sidecar.
     *
     * @param entry the sender
     * @param demand the number of tasks that wait at the entry and could run at this sidecar
     */
    record DemandReceived(ProcessId entry, int demand) implements SidecarEvent {}

    /**
     * An entry asked for the state of an attempt.
     *
     * @param entry the sender
     * @param addressee the sidecar incarnation that the request names
     * @param attempt the attempt; unless this sidecar has accepted it, it is prevented from starting here
     */
    record ResolveReceived(ProcessId entry, ProcessId addressee, AttemptId attempt) implements SidecarEvent {}

    /**
     * An entry cancelled attempts.
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
     * An entry adopts a submission of a lost entry: from now on, dispatches with a lower fencing token are refused. The
     * ledger lines of the submission are reported to the adopter.
     *
     * @param entry the sender
     * @param submission the submission
     * @param fence the adopter's fencing token
     */
    record FenceReceived(ProcessId entry, SubmissionId submission, long fence) implements SidecarEvent {}

    /**
     * A run at the upstream finished.
     *
     * @param attempt the attempt
     * @param outcome the outcome
     */
    record RunEnded(AttemptId attempt, TaskOutcome outcome) implements SidecarEvent {}

    /**
     * A newer table was received.
     *
     * @param table the table
     */
    record TableChanged(Table table) implements SidecarEvent {}

    /** A planned stop of the sidecar began. */
    record DrainRequested() implements SidecarEvent {}

    /** Timer event, sent at a regular interval, on which old ledger lines are evicted and grown windows are sent. */
    record Tick() implements SidecarEvent {}

    /**
     * One attempt in a received dispatch.
     *
     * @param attempt the attempt
     * @param kind the kind of work
     * @param payload the request body for the upstream, JSON text
     * @param claimAge the time since the claim was granted, as computed by the sender
     * @param timeout the maximum run time of the task
     */
    record ReceivedDispatch(AttemptId attempt, String kind, String payload, Duration claimAge, Duration timeout) {}
}
