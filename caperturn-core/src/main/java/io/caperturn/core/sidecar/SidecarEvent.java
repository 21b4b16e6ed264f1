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
 * <p>A sidecar is the process beside an upstream that starts tasks there and records the attempts in its ledger. An
 * entry is a process that accepts submissions and dispatches attempts to run their tasks to sidecars. Both are
 * identified by name and incarnation (run of the process). Entries are connected to sidecars by links. A claim is the
 * durable record that makes one entry the owner of a submission.
 */
public sealed interface SidecarEvent {
    /**
     * The upstream announced itself.
     *
     * @param upstream the announced description
     * @param leaving true if the upstream asks for no more work
     */
    record UpstreamAnnounced(UpstreamDescription upstream, boolean leaving) implements SidecarEvent {}

    /**
     * The link to an entry opened.
     *
     * @param entry the entry
     */
    record EntryLinked(ProcessId entry) implements SidecarEvent {}

    /**
     * The link to an entry closed or timed out.
     *
     * @param entry the entry
     */
    record EntryLost(ProcessId entry) implements SidecarEvent {}

    /**
     * An entry dispatched attempts.
     *
     * @param entry the sender
     * @param addressee the sidecar incarnation for which the dispatch is meant
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
     * @param addressee the sidecar incarnation for which the request is meant
     * @param attempt the attempt; if this sidecar has not accepted it yet, this sidecar never starts it
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
     * An entry adopted a submission of a lost entry and requests the states of its attempts. From now on, dispatches of
     * the submission with a lower fencing token are refused.
     *
     * @param entry the sender
     * @param submission the submission
     * @param fence the sender's fencing token for the submission
     */
    record FenceReceived(ProcessId entry, SubmissionId submission, long fence) implements SidecarEvent {}

    /**
     * The run of an attempt at the upstream finished.
     *
     * @param attempt the attempt
     * @param outcome the outcome
     */
    record RunEnded(AttemptId attempt, TaskOutcome outcome) implements SidecarEvent {}

    /**
     * A newer version of the operators' table of kinds and teams was received.
     *
     * @param table the received version
     */
    record TableChanged(Table table) implements SidecarEvent {}

    /** A planned stop of the sidecar began. */
    record DrainRequested() implements SidecarEvent {}

    /**
     * Regular timer event, on which old ledger lines are evicted, and entries are sent their window (maximum number of
     * outstanding attempts) if it has grown.
     */
    record Tick() implements SidecarEvent {}

    /**
     * One attempt in a received dispatch.
     *
     * @param attempt the attempt
     * @param kind the name of the kind of work
     * @param payload the request body for the upstream, JSON text
     * @param claimAge the time since the first owner claimed the submission, as computed by the sender
     * @param timeout the maximum run time of the task
     */
    record ReceivedDispatch(AttemptId attempt, String kind, String payload, Duration claimAge, Duration timeout) {}
}
