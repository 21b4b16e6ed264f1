package io.caperturn.core.entry;

import io.caperturn.core.model.Answer;
import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/** What an {@link EntryMachine} wants done. */
public sealed interface EntryMachineCommand {
    /**
     * Write a durable claim for the submission.
     *
     * @param submission the submission
     * @param request the number of this request within the incarnation, which the row carries
     */
    record RequestClaim(Submission submission, long request) implements EntryMachineCommand {}

    /**
     * Relay the submission to the entry that owns its claim.
     *
     * @param submission the submission
     * @param owner the owner's identity
     * @param ownerAddress the owner's link address as {@code host:port}
     */
    record RelayToOwner(Submission submission, ProcessId owner, String ownerAddress) implements EntryMachineCommand {}

    /**
     * Replace the claim of an owner that is gone, and find out which sidecars that owner could have used.
     *
     * @param submission the submission
     * @param held the claim that is to be replaced
     * @param request the number of this request within the incarnation, which the row carries
     */
    record AdoptClaim(Submission submission, ClaimResult.HeldByOther held, long request) implements EntryMachineCommand {}

    /**
     * Refuse lower fences of a submission at a sidecar from now on, and ask for its ledger's lines.
     *
     * @param sidecar the sidecar, by incarnation
     * @param submission the submission
     * @param fence the fence number
     */
    record SendFence(ProcessId sidecar, SubmissionId submission, long fence) implements EntryMachineCommand {}

    /**
     * Send attempts to a sidecar, in one frame.
     *
     * @param sidecar the sidecar, by incarnation
     * @param dispatches the attempts, at least one
     * @param demand how many more tasks wait here that this sidecar could run
     */
    record SendDispatches(ProcessId sidecar, List<Dispatch> dispatches, int demand) implements EntryMachineCommand {
        /** Copies the dispatches. */
        public SendDispatches {
            dispatches = List.copyOf(dispatches);
        }
    }

    /**
     * Tell a sidecar that tasks wait for it, when no dispatch can carry that.
     *
     * @param sidecar the sidecar
     * @param demand how many tasks wait here that it could run
     */
    record SendDemand(ProcessId sidecar, int demand) implements EntryMachineCommand {}

    /**
     * Ask a sidecar what became of an attempt, and fence it there if it did not start.
     *
     * @param sidecar the sidecar, by incarnation
     * @param attempt the attempt
     */
    record SendResolve(ProcessId sidecar, AttemptId attempt) implements EntryMachineCommand {}

    /**
     * Tell a sidecar that attempts are no longer wanted; queued ones must not start.
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
     * Tell a sidecar that stops that no more work is sent to it.
     *
     * @param sidecar the sidecar
     */
    record SendFarewell(ProcessId sidecar) implements EntryMachineCommand {}

    /**
     * Give the answer to the clients that wait for it.
     *
     * @param submission the submission
     * @param waiters the numbers of the waits
     * @param answer the answer
     */
    record SendAnswer(SubmissionId submission, List<Long> waiters, Answer answer) implements EntryMachineCommand {
        /** Copies the waiters. */
        public SendAnswer {
            waiters = List.copyOf(waiters);
        }
    }

    /**
     * Publish what happened to a submission or attempt, for logs, metrics and explanations.
     *
     * @param occurrence what happened
     */
    record Publish(EntryOccurrence occurrence) implements EntryMachineCommand {}

    /** Everything accepted has been answered; the process may stop. */
    record Drained() implements EntryMachineCommand {}

    /**
     * One attempt to be sent.
     *
     * @param attempt the attempt
     * @param kind the kind of work
     * @param payload the body for the upstream
     * @param claimedAt when the claim was granted, by which a sidecar refuses dispatches older than its ledger
     * @param timeout the longest time that the task may run
     */
    record Dispatch(AttemptId attempt, String kind, String payload, Instant claimedAt, Duration timeout) {}
}
