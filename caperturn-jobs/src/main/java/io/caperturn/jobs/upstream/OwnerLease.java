package io.caperturn.jobs.upstream;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Lease of an entry process on the runs that it owns at this sidecar process: a queued run starts, and an active one
 * continues, only until the lease expires. The entry renews it in answer to requests of the sidecar. The lease on runs
 * of stored jobs is renewed only if the entry also knows that no other entry has adopted these jobs
 * ({@link JobFrame.Lease#authority}).
 */
final class OwnerLease {
    /** Maximum number of renewal requests whose send time is kept: far more than can be in flight. */
    private static final long MAXIMUM_PENDING_RENEWALS = 128;

    /** Least time for which the lease on a transient run has to be valid when it starts, in milliseconds. */
    private static final long LEASE_LEFT_AT_START_MILLISECONDS = 250;

    private final String incarnation;
    private final SidecarTimings timings;
    /** Send times of the unanswered renewal requests by their numbers, in milliseconds of the loop's clock. */
    private final Map<Long, Long> renewalRequestedAt = new HashMap<>();

    /** Whether a link to the entry is open. */
    private boolean linked;

    /**
     * When the last answered renewal was requested, in milliseconds of the loop's clock. The opening of a link renews
     * nothing, because its first frames may have been sent long before they are read.
     */
    private long confirmedAt = Long.MIN_VALUE / 2;
    /**
     * Like {@link #confirmedAt}, but counts only renewals for which the entry knew that no other one had adopted its
     * stored jobs.
     */
    private long ownershipConfirmedAt = Long.MIN_VALUE / 2;

    /**
     * Until when active runs of stored jobs continue without a renewal over the present link, in milliseconds of the
     * loop's clock. The opening of a link renews nothing: a lost entry can open links too.
     */
    private long firstAnswerExpectedBy;

    private long highestDispatchSequence;
    /** When a renewal was last requested on the current link, in milliseconds of the loop's clock. */
    private long lastRenewalRequestedAt = Long.MIN_VALUE / 2;

    /** Free resources that the entry knows, from the last news of them and its own dispatches since. */
    private Optional<Resources> knownFree = Optional.empty();

    /** Estimated work of the queued tasks that the entry was last told, in thousandths of a core times milliseconds. */
    private long toldWaitingWork;

    /** Whether a dispatch over the current link has shown that the build of the entry reads room in reports. */
    private boolean readsRoom;

    OwnerLease(String incarnation, SidecarTimings timings) {
        this.incarnation = incarnation;
        this.timings = timings;
    }

    void openLink(long now) {
        linked = true;
        highestDispatchSequence = 0;
        readsRoom = false;
        renewalRequestedAt.clear();
        knownFree = Optional.empty();
        lastRenewalRequestedAt = Long.MIN_VALUE / 2;
        firstAnswerExpectedBy = now + SidecarTimings.FIRST_ANSWER_MILLISECONDS;
    }

    /** Expires the lease after a suspension of this process, as the confirmations may be older than its clock shows. */
    void expire() {
        confirmedAt = Long.MIN_VALUE / 2;
        ownershipConfirmedAt = Long.MIN_VALUE / 2;
        firstAnswerExpectedBy = 0;
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

    /** Records a dispatch; builds that name its queue also read room in reports. */
    void recordDispatch(JobFrame.Dispatch dispatch) {
        highestDispatchSequence = Math.max(highestDispatchSequence, dispatch.sequence());
        readsRoom |= !dispatch.queue().isEmpty();
    }

    /** Returns whether the entry is known to read room in reports over the current link. */
    boolean readsRoom() {
        return readsRoom;
    }

    /** Makes the entry count as knowing no room, so that the next status is sent. */
    void forgetRoomTold() {
        knownFree = Optional.empty();
    }

    /** Records that the entry was told of the room over the current link. */
    void recordRoomTold(Resources free, long waitingWork) {
        knownFree = Optional.of(free);
        toldWaitingWork = waitingWork;
    }

    /** Records that a run which the entry has dispatched was accepted; the entry has counted its resources itself. */
    void recordAccepted(Resources resources) {
        knownFree = knownFree.map(free -> free.minus(resources));
    }

    /** Returns whether the entry knows the present room without being told again. */
    boolean knowsRoom(Resources free, long waitingWork) {
        return knownFree.filter(free::equals).isPresent() && toldWaitingWork == waitingWork;
    }

    /** Returns whether a queued run may start now, with enough of the lease left for the next renewal. */
    boolean isStartAllowed(LocalRun run, long now) {
        return run.isDurable()
                ? now < ownershipConfirmedAt + timings.ownerLeaseForStartsMilliseconds()
                : now
                        < confirmedAt
                                + Math.min(
                                        timings.ownerLeaseForStartsMilliseconds(),
                                        timings.ownerLeaseOnTransientRunsMilliseconds()
                                                - LEASE_LEFT_AT_START_MILLISECONDS);
    }

    void recordRenewalRequest(long number, long requestedAt) {
        renewalRequestedAt.put(number, requestedAt);
        lastRenewalRequestedAt = requestedAt;
        renewalRequestedAt.keySet().removeIf(pending -> pending <= number - MAXIMUM_PENDING_RENEWALS);
    }

    /** Returns whether the last request for a renewal has not been answered. */
    boolean isAnswerOutstanding() {
        return confirmedAt < lastRenewalRequestedAt;
    }

    /** Returns when a renewal was last requested, in milliseconds of the loop's clock; far in the past if never. */
    long lastRenewalRequestedAt() {
        return lastRenewalRequestedAt;
    }

    /**
     * Renews the lease from the time at which the renewal was requested. Returns that time, in milliseconds of the
     * loop's clock, or empty if the request is not known.
     */
    OptionalLong renew(JobFrame.Lease answer) {
        Long requestedAt = renewalRequestedAt.remove(answer.renewal());
        if (requestedAt == null) {
            return OptionalLong.empty();
        }
        confirmedAt = Math.max(confirmedAt, requestedAt);
        if (answer.authority()) {
            ownershipConfirmedAt = Math.max(ownershipConfirmedAt, requestedAt);
        }
        return OptionalLong.of(requestedAt);
    }

    /** Returns when the lease on a run expires unless it is renewed, in milliseconds of the loop's clock. */
    long expiryFor(LocalRun run) {
        return run.isDurable()
                ? Math.max(ownershipConfirmedAt + timings.ownerLeaseOnStoredRunsMilliseconds(), firstAnswerExpectedBy)
                : confirmedAt + timings.ownerLeaseOnTransientRunsMilliseconds();
    }
}
