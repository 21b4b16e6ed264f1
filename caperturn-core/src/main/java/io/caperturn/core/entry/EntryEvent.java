package io.caperturn.core.entry;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.schedule.LimitShare;
import java.time.Instant;
import java.util.List;

/**
 * Input event of an {@link EntryMachine}.
 *
 * <p>An entry is a process that accepts submissions. A claim is the durable record that makes one entry the owner of a
 * submission; each new owner gets a higher fencing token. A sidecar is the process beside an upstream that starts
 * attempts (tries to run a task) there and records their states in its ledger. Entries are connected to sidecars and to
 * each other by links.
 */
public sealed interface EntryEvent {
    /**
     * A client submitted work or resubmitted it to get the answer.
     *
     * @param submission the work
     * @param waiter the number of the client request that waits for the answer
     * @param resubmission true if the client may have submitted the work before, at this or another entry, so that a
     *     refusal can't state that the work did not run
     */
    record SubmissionArrived(Submission submission, long waiter, boolean resubmission) implements EntryEvent {
        /**
         * Creates the event of a first submission.
         *
         * @param submission the work
         * @param waiter the number of the client request that waits for the answer
         */
        public SubmissionArrived(Submission submission, long waiter) {
            this(submission, waiter, /* resubmission= */ false);
        }
    }

    /**
     * A client requested to cancel a submission.
     *
     * @param submission the submission
     */
    record CancelRequested(SubmissionId submission) implements EntryEvent {}

    /**
     * A client disconnected before it received its answer.
     *
     * @param submission the submission whose answer the client waited for
     * @param waiter the number of the client's request
     */
    record WaiterGone(SubmissionId submission, long waiter) implements EntryEvent {}

    /**
     * The platform's store answered a claim request, or the request timed out.
     *
     * @param submission the submission
     * @param result the result of the claim request
     */
    record ClaimSettled(SubmissionId submission, ClaimResult result) implements EntryEvent {}

    /**
     * The owner of a submission answered after the submission was relayed to it, or the link to the owner closed.
     *
     * @param submission the submission
     * @param result the result of the relay
     */
    record RelaySettled(SubmissionId submission, RelayResult result) implements EntryEvent {}

    /**
     * The adoption of a submission (replacing the claim of an owner that can't be reached) succeeded or failed.
     *
     * @param submission the submission
     * @param result the result of the adoption
     */
    record AdoptionSettled(SubmissionId submission, AdoptionResult result) implements EntryEvent {}

    /**
     * A sidecar fenced a submission: it refuses dispatches of earlier owners from now on, and reported the attempts in
     * its ledger.
     *
     * @param sidecar the sidecar
     * @param submission the submission
     * @param fence the lowest fencing token with which the sidecar still accepts attempts of the submission
     * @param reports the states of the submission's attempts in the ledger
     */
    record SubmissionFenced(ProcessId sidecar, SubmissionId submission, long fence, List<AttemptReport> reports)
            implements EntryEvent {
        /** Copies the reports. */
        public SubmissionFenced {
            reports = List.copyOf(reports);
        }
    }

    /**
     * A sidecar's link opened, or its upstream's state changed.
     *
     * @param sidecar the sidecar
     * @param upstream the description of its upstream
     * @param serving false while the upstream is leaving, has stopped announcing itself or is not known
     * @param window the maximum number of attempts that this entry may have outstanding at the sidecar
     */
    record SidecarChanged(ProcessId sidecar, UpstreamDescription upstream, boolean serving, int window)
            implements EntryEvent {}

    /**
     * A sidecar's link closed or timed out; the states of its attempts are in doubt until it reconnects.
     *
     * @param sidecar the sidecar
     */
    record SidecarLost(ProcessId sidecar) implements EntryEvent {}

    /**
     * A stopping sidecar has no outstanding attempts left and requests the confirmation that this entry sends it no
     * more work.
     *
     * @param sidecar the sidecar
     */
    record FarewellReceived(ProcessId sidecar) implements EntryEvent {}

    /**
     * A sidecar changed the number of attempts that this entry may have outstanding there.
     *
     * @param sidecar the sidecar
     * @param window the maximum number of outstanding attempts
     */
    record WindowChanged(ProcessId sidecar, int window) implements EntryEvent {}

    /**
     * A sidecar reported the states of attempts.
     *
     * @param sidecar the sidecar
     * @param reports one report for each attempt
     * @param window the new maximum number of attempts that this entry may have outstanding at the sidecar
     */
    record ReportsReceived(ProcessId sidecar, List<AttemptReport> reports, int window) implements EntryEvent {
        /** Copies the reports. */
        public ReportsReceived {
            reports = List.copyOf(reports);
        }
    }

    /**
     * Attempts could not be sent over a link. No byte of them was written, so they did not start.
     *
     * @param sidecar the intended sidecar
     * @param attempts the attempts
     */
    record DispatchNotSent(ProcessId sidecar, List<AttemptId> attempts) implements EntryEvent {
        /** Copies the attempts. */
        public DispatchNotSent {
            attempts = List.copyOf(attempts);
        }
    }

    /**
     * A sidecar answered a resolve request, which asks for the state of an attempt and prevents an unknown one from
     * starting.
     *
     * @param sidecar the sidecar
     * @param attempt the requested attempt
     * @param state the state of the attempt in the sidecar's ledger; if not started, the attempt will never start there
     */
    record AttemptResolved(ProcessId sidecar, AttemptId attempt, AttemptState state) implements EntryEvent {}

    /**
     * A version of the operators' table of kinds and teams was received; it may be older than the one in force.
     *
     * @param table the received version
     */
    record TableChanged(Table table) implements EntryEvent {}

    /**
     * The list of live entries was read, and gave this entry's share of the operators' limits.
     *
     * @param share the part of each limit that this entry may use
     * @param readAt the time at which the list was read
     */
    record LimitShareConfirmed(LimitShare share, Instant readAt) implements EntryEvent {}

    /** A planned stop of the entry began: new submissions are refused, and accepted ones are finished. */
    record DrainRequested() implements EntryEvent {}

    /** Regular timer event, on which deadlines and time-outs are checked. */
    record Tick() implements EntryEvent {}
}
