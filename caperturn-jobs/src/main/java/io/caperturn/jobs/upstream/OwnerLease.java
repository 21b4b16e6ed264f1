package io.caperturn.jobs.upstream;

import io.caperturn.jobs.message.JobFrame;
import java.util.HashMap;
import java.util.Map;

/**
 * Lease of an entry on the runs that it owns at this sidecar: queued runs start and active ones continue only until it
 * expires. For runs of stored jobs, only renewals count for which the entry knows that no other entry has adopted its
 * jobs.
 */
final class OwnerLease {
    /** Maximum number of renewal requests whose send time is kept: far more than can be in flight. */
    private static final long MAXIMUM_PENDING_RENEWALS = 128;

    private final String incarnation;
    private final SidecarTimings timings;
    /** Send times of the unanswered renewal requests by their numbers, in milliseconds of the loop's clock. */
    private final Map<Long, Long> renewalRequestedAt = new HashMap<>();

    private boolean linked;
    /** When the link opened or the last answered renewal was requested, in milliseconds of the loop's clock. */
    private long confirmedAt;
    /**
     * Like {@link #confirmedAt}, counting only renewals for which the entry knew that no other had adopted its jobs.
     */
    private long authorityConfirmedAt;

    private long dispatchesSeen;

    OwnerLease(String incarnation, SidecarTimings timings) {
        this.incarnation = incarnation;
        this.timings = timings;
    }

    void openLink(long now) {
        linked = true;
        dispatchesSeen = 0;
        renewalRequestedAt.clear();
        confirmedAt = Math.max(confirmedAt, now);
        authorityConfirmedAt = Math.max(authorityConfirmedAt, now);
    }

    /**
     * Expires the lease: after a suspension the recorded confirmations may be older than this process's clock shows.
     */
    void expire() {
        confirmedAt = Long.MIN_VALUE / 2;
        authorityConfirmedAt = Long.MIN_VALUE / 2;
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
    long dispatchesSeen() {
        return dispatchesSeen;
    }

    void recordDispatch(long sequence) {
        dispatchesSeen = Math.max(dispatchesSeen, sequence);
    }

    /** Returns whether a queued run may start now. */
    boolean isStartAllowed(LocalRun run, long now) {
        return now < (run.isDurable() ? authorityConfirmedAt : confirmedAt) + timings.startAuthorityMilliseconds();
    }

    void recordRenewalRequest(long number, long requestedAt) {
        renewalRequestedAt.put(number, requestedAt);
        renewalRequestedAt.keySet().removeIf(pending -> pending <= number - MAXIMUM_PENDING_RENEWALS);
    }

    /**
     * Renews the lease as of the time at which the renewal was requested; returns false if this is not newer than the
     * last.
     */
    boolean renew(JobFrame.Lease lease) {
        Long requestedAt = renewalRequestedAt.remove(lease.renewal());
        if (requestedAt != null && requestedAt > confirmedAt) {
            confirmedAt = requestedAt;
            if (lease.authority()) {
                authorityConfirmedAt = requestedAt;
            }
            return true;
        }
        return false;
    }

    /** Returns the time at which this owner's authority over a run expires, unless it is renewed. */
    long authorityExpiry(LocalRun run) {
        return run.isDurable()
                ? authorityConfirmedAt + timings.runAuthorityMilliseconds()
                : confirmedAt + timings.transientAuthorityMilliseconds();
    }
}
