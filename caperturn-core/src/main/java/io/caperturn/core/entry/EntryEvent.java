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

/** What an {@link EntryMachine} reacts to. */
public sealed interface EntryEvent {
    /**
     * A client submitted work, or asked again for the answer to work submitted before.
     *
     * @param submission the work
     * @param waiter the number under which the answer is returned
     * @param resubmission true if the client may have submitted it before, here or elsewhere; a refusal then can't say
     *     that it did not run
     */
    record SubmissionArrived(Submission submission, long waiter, boolean resubmission) implements EntryEvent {
        /**
         * Creates the event of a first submission.
         *
         * @param submission the work
         * @param waiter the number under which the answer is returned
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
     * A client is no longer there to receive its answer.
     *
     * @param submission the submission that it waited for
     * @param waiter the number of its wait
     */
    record WaiterGone(SubmissionId submission, long waiter) implements EntryEvent {}

    /**
     * The platform's store settled a claim.
     *
     * @param submission the submission
     * @param result what the store said
     */
    record ClaimSettled(SubmissionId submission, ClaimResult result) implements EntryEvent {}

    /**
     * Another entry answered a relayed submission, or its link closed.
     *
     * @param submission the submission
     * @param result the owner's reply
     */
    record RelaySettled(SubmissionId submission, RelayResult result) implements EntryEvent {}

    /**
     * An attempt to adopt the claim of an owner that is gone was settled.
     *
     * @param submission the submission
     * @param result what came of it
     */
    record AdoptionSettled(SubmissionId submission, AdoptionResult result) implements EntryEvent {}

    /**
     * A sidecar fenced a submission and told what its ledger holds of it.
     *
     * @param sidecar the sidecar
     * @param submission the submission
     * @param fence the fence number now in force there
     * @param reports the ledger's lines of the submission
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
     * @param window most attempts that this entry may have outstanding there
     */
    record SidecarChanged(ProcessId sidecar, UpstreamDescription upstream, boolean serving, int window)
            implements EntryEvent {}

    /**
     * A sidecar's link closed or fell silent; its attempts are in doubt until it is back.
     *
     * @param sidecar the sidecar
     */
    record SidecarLost(ProcessId sidecar) implements EntryEvent {}

    /**
     * A sidecar that stops has nothing outstanding any more and waits for the reply.
     *
     * @param sidecar the sidecar
     */
    record FarewellReceived(ProcessId sidecar) implements EntryEvent {}

    /**
     * A sidecar changed the number of attempts that this entry may have outstanding there.
     *
     * @param sidecar the sidecar
     * @param window most attempts outstanding
     */
    record WindowChanged(ProcessId sidecar, int window) implements EntryEvent {}

    /**
     * A sidecar reported on attempts.
     *
     * @param sidecar the sidecar
     * @param reports one report for each attempt
     * @param window most attempts that this entry may have outstanding there from now on
     */
    record ReportsReceived(ProcessId sidecar, List<AttemptReport> reports, int window) implements EntryEvent {
        /** Copies the reports. */
        public ReportsReceived {
            reports = List.copyOf(reports);
        }
    }

    /**
     * Attempts could not be handed to a link; nothing of them was written, so they did not start.
     *
     * @param sidecar the sidecar that they were for
     * @param attempts the attempts
     */
    record DispatchNotSent(ProcessId sidecar, List<AttemptId> attempts) implements EntryEvent {
        /** Copies the attempts. */
        public DispatchNotSent {
            attempts = List.copyOf(attempts);
        }
    }

    /**
     * A sidecar answered a resolve.
     *
     * @param sidecar the sidecar
     * @param attempt the attempt that was asked about
     * @param state what its ledger says; not-started means fenced there
     */
    record AttemptResolved(ProcessId sidecar, AttemptId attempt, AttemptState state) implements EntryEvent {}

    /**
     * A newer table is known.
     *
     * @param table the table
     */
    record TableChanged(Table table) implements EntryEvent {}

    /**
     * This entry's part of the limits was confirmed by the membership.
     *
     * @param share the part
     * @param readAt when the membership was read
     */
    record LimitShareConfirmed(LimitShare share, Instant readAt) implements EntryEvent {}

    /** A planned stop began: new submissions are refused, accepted ones are finished. */
    record DrainRequested() implements EntryEvent {}

    /** Time passed; sent at a regular interval so that deadlines are kept. */
    record Tick() implements EntryEvent {}
}
