package io.caperturn.jobs.upstream;

import io.caperturn.jobs.message.JobFrame;
import java.util.HashMap;
import java.util.Map;

/**
 * Lease of an entry process on the runs that it owns at this sidecar process: a queued run starts, and an active one
 * continues, only until the lease expires. The entry renews it in answer to requests of the sidecar. The lease on runs
 * of stored jobs is renewed only if the entry also knows that no other entry has adopted these jobs
 * ({@link JobFrame.Lease#authority}).
 */
final class OwnerLease {
    /** Maximum number of renewal requests whose send time is kept: far more than can be in flight. */
    private static final long MAXIMUM_PENDING_RENEWALS = 128;

    private final String incarnation;
    private final SidecarTimings timings;
    /** Send times of the unanswered renewal requests by their numbers, in milliseconds of the loop's clock. */
    private final Map<Long, Long> renewalRequestedAt = new HashMap<>();

    /** Whether a link to the entry is open. */
    private boolean linked;

    /** When the link opened or the last answered renewal was requested, in milliseconds of the loop's clock. */
    private long confirmedAt;
    /**
     * Like {@link #confirmedAt}, but counts only renewals for which the entry knew that no other one had adopted its
     * stored jobs.
     */
    private long ownershipConfirmedAt;

    private long highestDispatchSequence;

    OwnerLease(String incarnation, SidecarTimings timings) {
        this.incarnation = incarnation;
        this.timings = timings;
    }

    void openLink(long now) {
        linked = true;
        highestDispatchSequence = 0;
        renewalRequestedAt.clear();
        confirmedAt = Math.max(confirmedAt, now);
        ownershipConfirmedAt = Math.max(ownershipConfirmedAt, now);
    }

    /** Expires the lease after a suspension of this process, as the confirmations may be older than its clock shows. */
    void expire() {
        confirmedAt = Long.MIN_VALUE / 2;
        ownershipConfirmedAt = Long.MIN_VALUE / 2;
        renewalRequestedAt.clear();
    }

    String incarnation() {
        return incarnation;
    }

    boolean isLinked() {
        return linked;
    }

    void closeLink() {
        linked = false;
    }

    long confirmedAt() {
        return confirmedAt;
    }

    /** Returns the highest sequence number of a dispatch received over the current link. */
    long highestDispatchSequence() {
        return highestDispatchSequence;
    }

    void recordDispatch(long sequence) {
        highestDispatchSequence = Math.max(highestDispatchSequence, sequence);
    }

    /** Returns whether a queued run may start now. */
    boolean isStartAllowed(LocalRun run, long now) {
        return now < (run.isDurable() ? ownershipConfirmedAt : confirmedAt) + timings.ownerLeaseForStartsMilliseconds();
    }

    void recordRenewalRequest(long number, long requestedAt) {
        renewalRequestedAt.put(number, requestedAt);
        renewalRequestedAt.keySet().removeIf(pending -> pending <= number - MAXIMUM_PENDING_RENEWALS);
    }

    /**
     * Renews the lease from the time at which the renewal was requested; returns false if the request is not known or
     * not newer than the last one that was answered.
     */
    boolean renew(JobFrame.Lease answer) {
        Long requestedAt = renewalRequestedAt.remove(answer.renewal());
        if (requestedAt != null && requestedAt > confirmedAt) {
            confirmedAt = requestedAt;
            if (answer.authority()) {
                ownershipConfirmedAt = requestedAt;
            }
            return true;
        }
        return false;
    }

    /** Returns when the lease on a run expires unless it is renewed, in milliseconds of the loop's clock. */
    long expiryFor(LocalRun run) {
        return run.isDurable()
                ? ownershipConfirmedAt + timings.ownerLeaseOnStoredRunsMilliseconds()
                : confirmedAt + timings.ownerLeaseOnTransientRunsMilliseconds();
    }
}
