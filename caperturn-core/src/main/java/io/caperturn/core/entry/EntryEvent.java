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
 * <p>A claim is the durable record that makes one entry the owner of a submission. A sidecar is the process beside an
 * upstream that starts attempts there and records their states in its ledger.
 */
public sealed interface EntryEvent {
    /**
     * A client submitted work or resubmitted it to get the answer.
     *
     * @param submission the work
     * @param waiter the number of the client request that waits for the answer
     * @param resubmission true if the client may have submitted the work before, at this or another entry; a refusal
     *     then can't state that the work did not run
     */
    record SubmissionArrived(Submission submission, long waiter, boolean resubmission) implements EntryEvent {
        /**
         * Creates the event of a first submission.
         *
         * @param submission the work
         * @param waiter the number of the client request that waits for the answer
         */
        public SubmissionArrived(Submission submission, long waiter) {
            this(submission, waiter, false);
        }
    }

    /**
     * A client asked to cancel a submission.
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
     * A claim request to the platform's store finished.
     *
     * @param submission the submission
     * @param result the result of the claim request
     */
    record ClaimSettled(SubmissionId submission, ClaimResult result) implements EntryEvent {}

    /**
     * Another entry answered a relayed submission, or its link closed.
     *
     * @param submission the submission
     * @param result the result of the relay
     */
    record RelaySettled(SubmissionId submission, RelayResult result) implements EntryEvent {}

    /**
     * An attempt to adopt the claim of a lost owner finished.
     *
     * @param submission the submission
     * @param result the result of the adoption
     */
    record AdoptionSettled(SubmissionId submission, AdoptionResult result) implements EntryEvent {}

    /**
     * A sidecar fenced a submission (refuses dispatches of earlier owners from now on) and reported its ledger lines.
     *
     * @param sidecar the sidecar
     * @param submission the submission
     * @param fence the fencing token now in force at the sidecar
     * @param reports the ledger lines of the submission
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
     * @param upstream its upstream
     * @param serving false while the upstream is leaving, silent or absent
     * @param window the maximum number of attempts that this entry may have outstanding at the sidecar
     */
    record SidecarChanged(ProcessId sidecar, UpstreamDescription upstream, boolean serving, int window)
            implements EntryEvent {}

    /**
     * A sidecar's link closed or timed out; its attempts are in doubt until it reconnects.
     *
     * @param sidecar the sidecar
     */
    record SidecarLost(ProcessId sidecar) implements EntryEvent {}

    /**
     * A stopping sidecar has no outstanding attempts left and waits for the confirmation that no more work is sent to
     * it.
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
     * A sidecar reported on attempts.
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
     * Attempts could not be handed to a link. No byte of them was written, so they did not start.
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
     * A sidecar answered a resolve request, which asks for the state of an attempt.
     *
     * @param sidecar the sidecar
     * @param attempt the requested attempt
     * @param state the state of the attempt in the sidecar's ledger; not-started means that it will never start there
     */
    record AttemptResolved(ProcessId sidecar, AttemptId attempt, AttemptState state) implements EntryEvent {}

    /**
     * A table was received; it may be older than the one in force.
     *
     * @param table the table
     */
    record TableChanged(Table table) implements EntryEvent {}

    /**
     * The membership confirmed this entry's share of the limits.
     *
     * @param share the share
     * @param readAt the time at which the membership was read
     */
    record LimitShareConfirmed(LimitShare share, Instant readAt) implements EntryEvent {}

    /** A planned stop began; new submissions are refused and accepted ones are finished. */
    record DrainRequested() implements EntryEvent {}

    /** Timer event, sent at a regular interval, on which deadlines and time-outs are checked. */
    record Tick() implements EntryEvent {}
}
