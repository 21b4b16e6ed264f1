package io.caperturn.jobs.upstream;

import io.caperturn.jobs.model.UpstreamIncarnation;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * What a sidecar process knows of one incarnation of its upstream, the time from a start to the next stop. It is
 * replaced as a whole once another incarnation is noticed, so that nothing that was learned of one applies to the next.
 *
 * <p>Orders and their answers belong to the incarnation that was known when the order was sent.
 */
final class KnownIncarnation {
    /**
     * Maximum time by which the answer to a hold overtakes another one, in milliseconds. A larger difference shows that
     * the upstream has restarted without telling when.
     */
    static final long MAXIMUM_OVERTAKING_MILLISECONDS = 5_000;

    /** Name of the upstream; empty if unknown. */
    private String identity;
    /** When the incarnation started, in milliseconds since 1970; 0 if unknown. */
    private long startEpochMilliseconds;

    /** Highest number of an announcement; they increase within an incarnation. */
    private long lastAnnouncementNumber = Long.MIN_VALUE;

    /** Latest announcement of this incarnation; empty if it has not announced itself, or has announced its stop. */
    private Optional<UpstreamAnnouncement> announcement = Optional.empty();
    /** Until when it expects to be slow after its start, in milliseconds of the loop's clock. */
    private long coldUntil;

    private final UpstreamClock clock = new UpstreamClock();
    /** Fencing token of the last listing; 0 if the incarnation has not been listed. */
    private long lastListingFenceToken;
    /** Reading of the upstream's clock in its latest listing. */
    private long lastListingClock;

    /** When the incarnation announced that it stops, in milliseconds of the loop's clock; empty if it did not. */
    private OptionalLong stopAnnouncedAt = OptionalLong.empty();

    /** Latest expiry of its lease that was requested, in milliseconds of the loop's clock. */
    private long requestedLeaseExpiry = Long.MIN_VALUE / 2;
    /** The same expiry as a reading of the upstream's clock, as estimated when it was first requested. */
    private long requestedExpiryReading;

    KnownIncarnation(String identity, long startEpochMilliseconds) {
        this.identity = identity;
        this.startEpochMilliseconds = startEpochMilliseconds;
    }

    String identity() {
        return identity;
    }

    long startEpochMilliseconds() {
        return startEpochMilliseconds;
    }

    /** Returns whether anything tells this incarnation from others. */
    boolean isKnown() {
        return !identity.isEmpty() || startEpochMilliseconds != 0;
    }

    /** Returns whether the sender of a message may be this incarnation; an empty name or a start of 0 is unknown. */
    boolean matches(String senderIdentity, long senderStartEpochMilliseconds) {
        boolean sameName = identity.isEmpty() || senderIdentity.isEmpty() || identity.equals(senderIdentity);
        boolean sameStart = startEpochMilliseconds == 0
                || senderStartEpochMilliseconds == 0
                || startEpochMilliseconds == senderStartEpochMilliseconds;
        return sameName && sameStart;
    }

    /** Completes the name and the start from a message of this incarnation. */
    void complete(String senderIdentity, long senderStartEpochMilliseconds) {
        if (identity.isEmpty()) {
            identity = senderIdentity;
        }
        if (startEpochMilliseconds == 0) {
            startEpochMilliseconds = senderStartEpochMilliseconds;
        }
    }

    /** Returns whether a start, in milliseconds since 1970, is that of an earlier incarnation. */
    boolean startedAfter(long otherStartEpochMilliseconds) {
        return otherStartEpochMilliseconds != 0 && otherStartEpochMilliseconds < startEpochMilliseconds;
    }

    /** Returns whether a description is of this incarnation; a start of 0 is that of none. */
    boolean isDescribedBy(UpstreamIncarnation description) {
        return startEpochMilliseconds != 0
                && description.startEpochMilliseconds() == startEpochMilliseconds
                && (identity.isEmpty() || identity.equals(description.identity()));
    }

    /** Returns whether an announcement of this incarnation was sent before the last one that was recorded, or is it. */
    boolean hasOvertaken(UpstreamAnnouncement announcement) {
        return isDescribedBy(announcement.description()) && announcement.sequence() <= lastAnnouncementNumber;
    }

    /** Records an announcement that was received, at a time in milliseconds of the loop's clock. */
    void recordAnnouncement(UpstreamAnnouncement latest, long now) {
        lastAnnouncementNumber = latest.sequence();
        announcement = Optional.of(latest);
        coldUntil = now + latest.coldMilliseconds();
    }

    /** Uses a description of this incarnation that was stored. */
    void restoreDescription(UpstreamIncarnation stored) {
        announcement = Optional.of(
                new UpstreamAnnouncement(stored, /* sequence= */ 0, /* leaving= */ false, /* coldMilliseconds= */ 0));
    }

    /** Returns the latest announcement; empty if there is none, or the incarnation has announced that it stops. */
    Optional<UpstreamAnnouncement> announcement() {
        return announcement;
    }

    /** Returns until when the upstream expects to be slow after its start, in milliseconds of the loop's clock. */
    long coldUntil() {
        return coldUntil;
    }

    UpstreamClock clock() {
        return clock;
    }

    long lastListingFenceToken() {
        return lastListingFenceToken;
    }

    /**
     * Records the reading of the upstream's clock in a listing; returns false if a later listing of this incarnation
     * has arrived before.
     */
    boolean recordListingClock(long clockReading) {
        long lag = lastListingClock - clockReading;
        if (lag > 0 && lag < MAXIMUM_OVERTAKING_MILLISECONDS) {
            return false;
        }
        lastListingClock = clockReading;
        return true;
    }

    /** Records a listing; returns true if it is the first under its fencing token. */
    boolean recordListing(long listingFenceToken) {
        boolean first = listingFenceToken > lastListingFenceToken;
        lastListingFenceToken = Math.max(lastListingFenceToken, listingFenceToken);
        return first;
    }

    /** Forgets that the runs were listed, because another upstream may answer by now. */
    void forgetListing() {
        lastListingFenceToken = 0;
    }

    OptionalLong stopAnnouncedAt() {
        return stopAnnouncedAt;
    }

    /** Records that the incarnation has announced its stop, at a time in milliseconds of the loop's clock. */
    void recordStopNotice(long now) {
        stopAnnouncedAt = OptionalLong.of(now);
        announcement = Optional.empty();
        coldUntil = 0;
    }

    /** Takes back that the incarnation has announced its stop. */
    void liftStopNotice() {
        stopAnnouncedAt = OptionalLong.empty();
    }

    /** Returns the latest expiry of the lease that was requested, in milliseconds of the loop's clock. */
    long requestedLeaseExpiry() {
        return requestedLeaseExpiry;
    }

    /** Returns the same expiry as a reading of the upstream's clock, as estimated when it was first requested. */
    long requestedExpiryReading() {
        return requestedExpiryReading;
    }

    /** Records that a lease was requested, by its expiry on the loop's clock and on the upstream's. */
    void recordLeaseRequest(long expiry, long expiryReading) {
        requestedLeaseExpiry = expiry;
        requestedExpiryReading = expiryReading;
    }
}
