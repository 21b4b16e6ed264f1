package io.caperturn.core.entry;

import io.caperturn.core.model.Answer;
import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * Command from an {@link EntryMachine} to the code that does its input and output.
 *
 * <p>An entry is a process that accepts submissions. A claim is the durable record that makes one entry the owner of a
 * submission; each new owner gets a higher fencing token. A sidecar is the process beside an upstream that starts
 * attempts (tries to run a task) there and records their states in its ledger.
 */
public sealed interface EntryMachineCommand {
    /**
     * Writes a durable claim for the submission.
     *
     * @param submission the submission
     * @param request the number of this request, counted within this run of the process and stored with the claim
     */
    record RequestClaim(Submission submission, long request) implements EntryMachineCommand {}

    /**
     * Relays the submission to the entry that owns its claim.
     *
     * @param submission the submission
     * @param owner the owner, by name and incarnation (run of the process)
     * @param ownerAddress the address at which the owner accepts connections of other entries, as {@code host:port}
     */
    record RelayToOwner(Submission submission, ProcessId owner, String ownerAddress) implements EntryMachineCommand {}

    /**
     * Replaces the claim of an owner that can't be reached, and determines the sidecars to which this owner could have
     * dispatched.
     *
     * @param submission the submission
     * @param held the claim to replace
     * @param request the number of this request, counted within this run of the process and stored with the claim
     */
    record AdoptClaim(Submission submission, ClaimResult.HeldByOther held, long request)
            implements EntryMachineCommand {}

    /**
     * Makes a sidecar refuse all dispatches of a submission with a lower fencing token, and requests the states of the
     * submission's attempts in the sidecar's ledger.
     *
     * @param sidecar the sidecar
     * @param submission the submission
     * @param fence the fencing token
     */
    record SendFence(ProcessId sidecar, SubmissionId submission, long fence) implements EntryMachineCommand {}

    /**
     * Sends attempts to a sidecar in one message.
     *
     * @param sidecar the sidecar
     * @param dispatches the attempts, at least one
     * @param demand the number of further tasks waiting in this entry that the sidecar could run
     */
    record SendDispatches(ProcessId sidecar, List<Dispatch> dispatches, int demand) implements EntryMachineCommand {
        /** Copies the dispatches. */
        public SendDispatches {
            dispatches = List.copyOf(dispatches);
        }
    }

    /**
     * Notifies a sidecar of waiting tasks when no dispatch is sent to it.
     *
     * @param sidecar the sidecar
     * @param demand the number of tasks waiting in this entry that the sidecar could run
     */
    record SendDemand(ProcessId sidecar, int demand) implements EntryMachineCommand {}

    /**
     * Asks a sidecar for the state of an attempt; a sidecar that has not accepted the attempt will never start it.
     *
     * @param sidecar the sidecar
     * @param attempt the attempt
     */
    record SendResolve(ProcessId sidecar, AttemptId attempt) implements EntryMachineCommand {}

    /**
     * Cancels attempts at a sidecar: queued ones must not start, and running ones are aborted.
     *
     * @param sidecar the sidecar
     * @param attempts the attempts
     */
    record SendCancels(ProcessId sidecar, List<AttemptId> attempts) implements EntryMachineCommand {
        /** Copies the attempts. */
        public SendCancels {
            attempts = List.copyOf(attempts);
        }
    }

    /**
     * Confirms to a stopping sidecar that no more work is sent to it.
     *
     * @param sidecar the sidecar
     */
    record SendFarewell(ProcessId sidecar) implements EntryMachineCommand {}

    /**
     * Sends the answer to the clients that wait for it.
     *
     * @param submission the submission
     * @param waiters the numbers of the waiting client requests
     * @param answer the answer
     */
    record SendAnswer(SubmissionId submission, List<Long> waiters, Answer answer) implements EntryMachineCommand {
        /** Copies the waiters. */
        public SendAnswer {
            waiters = List.copyOf(waiters);
        }
    }

    /**
     * Publishes a lifecycle event of a submission or attempt for logs, metrics and the history shown to operators.
     *
     * @param occurrence the event
     */
    record Publish(SubmissionLifecycleEvent occurrence) implements EntryMachineCommand {}

    /** Reports that every accepted submission has been answered after a planned stop began; the process can exit. */
    record Drained() implements EntryMachineCommand {}

    /**
     * One attempt in a command to dispatch.
     *
     * @param attempt the attempt
     * @param kind the name of the kind of work
     * @param payload the request body for the upstream, JSON text
     * @param claimedAt the time at which the first owner claimed the submission; a sidecar refuses the dispatch if this
     *     is longer ago than its ledger keeps attempts
     * @param timeout the maximum run time of the task
     */
    record Dispatch(AttemptId attempt, String kind, String payload, Instant claimedAt, Duration timeout) {}
}
