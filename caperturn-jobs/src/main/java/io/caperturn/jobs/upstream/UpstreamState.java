package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.UpstreamIncarnation;
import io.caperturn.jobs.upstream.UpstreamPort.Order;
import java.util.List;
import java.util.function.LongSupplier;

/**
 * Known state of a sidecar's upstream: its current incarnation (the time from a start to the next stop), its clock, and
 * the fencing token of orders to it. The upstream refuses orders with a lower token than it has seen.
 */
final class UpstreamState {
    /** Number of fencing tokens that this process can assign itself between two registrations in the store. */
    private static final long FENCE_TOKENS_PER_REGISTRATION = 1_000;

    /**
     * Maximum age of a reading of the upstream's clock from which a lease is computed, in milliseconds: that clock may
     * be two percent slow, so that the lease would end later than intended.
     */
    private static final long MAXIMUM_CLOCK_AGE_MILLISECONDS = 1_000;

    /**
     * Maximum time by which the answer to a hold overtakes another one, in milliseconds. A larger difference shows that
     * the upstream has restarted without telling when.
     */
    private static final long MAXIMUM_OVERTAKING_MILLISECONDS = 5_000;

    private final DecisionLoop loop;
    private final long leaseMilliseconds;
    /** Returns up to when the upstream's lease may be extended, in milliseconds of the loop's clock. */
    private final LongSupplier latestLeaseExpiry;

    private final UpstreamClock clock = new UpstreamClock();
    /** Latest announcement of the upstream; null if it has not announced itself or has stopped. */
    private UpstreamAnnouncement announcement;
    /** Until when the upstream expects to be slow after its start, in milliseconds of the loop's clock. */
    private long coldUntil;

    /** Last notice of an upstream that it stops; null if there was none. */
    private StopNotice stopNotice;

    /** Description stored by an earlier incarnation of this sidecar; null if there is none. */
    private UpstreamIncarnation earlierDescription;

    private String identity = "";
    /** When the known incarnation of the upstream started, in milliseconds since 1970; 0 if unknown. */
    private long startEpochMilliseconds;

    /** Whether orders address any upstream that answers, because a different one than the known one has answered. */
    private boolean addressAnyUpstream;

    /** Latest expiry of the upstream's lease that was requested, in milliseconds of the loop's clock. */
    private long requestedLeaseExpiry = Long.MIN_VALUE / 2;

    /** The same expiry as a reading of the upstream's clock, as estimated when it was first requested. */
    private long requestedExpiryReading;

    private long fenceToken;
    /** Fencing token of the last listing; 0 if the known incarnation has not been listed. */
    private long lastListingFenceToken;
    /** Reading of the upstream's clock in its latest listing. */
    private long lastListingClock;

    /**
     * Creates the state of an unknown upstream.
     *
     * @param loop the loop on which all calls are made
     * @param leaseMilliseconds maximum lease that the upstream grants, in milliseconds
     * @param latestLeaseExpiry supplies the time up to which its lease may be extended, on the loop's clock
     */
    UpstreamState(DecisionLoop loop, long leaseMilliseconds, LongSupplier latestLeaseExpiry) {
        this.loop = loop;
        this.leaseMilliseconds = leaseMilliseconds;
        this.latestLeaseExpiry = latestLeaseExpiry;
    }

    /**
     * Derives the fencing token from a registration number, which the store assigns to no other incarnation of this
     * sidecar; returns false if the token would not increase.
     */
    boolean setRegistration(long registration) {
        long next = registration * FENCE_TOKENS_PER_REGISTRATION;
        if (next <= fenceToken) {
            return false;
        }
        fenceToken = next;
        loop.log().event(EventName.FENCE, EventKey.NUMBER, fenceToken, EventKey.CAUSE, "registered");
        return true;
    }

    void raiseFenceToken(String cause) {
        fenceToken++;
        loop.log().event(EventName.FENCE, EventKey.NUMBER, fenceToken, EventKey.CAUSE, cause);
    }

    long fenceToken() {
        return fenceToken;
    }

    /** Returns whether the upstream's runs have been listed under the current fencing token. */
    boolean isListedUnderCurrentToken() {
        return fenceToken > 0 && lastListingFenceToken == fenceToken;
    }

    /**
     * Records the reading of the upstream's clock in a listing; returns false if a later listing of the same
     * incarnation has arrived before.
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

    /** Returns whether the runs of the known incarnation of the upstream have been listed. */
    boolean isIncarnationListed() {
        return lastListingFenceToken != 0;
    }

    UpstreamAnnouncement announcement() {
        return announcement;
    }

    void setAnnouncement(UpstreamAnnouncement latest) {
        announcement = latest;
        coldUntil = latest == null ? 0 : loop.monotonicMilliseconds() + latest.coldMilliseconds();
    }

    /**
     * Notice of an incarnation of an upstream that it stops, received at a time in milliseconds of the loop's clock;
     * its start, in milliseconds since 1970, is 0 if unknown.
     */
    private record StopNotice(String identity, long startEpochMilliseconds, long receivedAt) {}

    /**
     * Records a notice that an upstream stops, by its name; returns false if the known upstream is another one or has
     * sent its notice before.
     */
    boolean recordStopNotice(String sender) {
        boolean known = sender.equals(identity) || announcement != null && sender.equals(announcement.identity());
        boolean unknownUpstream = identity.isEmpty() && announcement == null;
        boolean repeated = known && hasAnnouncedStopBefore(Long.MAX_VALUE);
        if (!known && !unknownUpstream || repeated) {
            return false;
        }
        stopNotice = new StopNotice(sender, known ? startEpochMilliseconds : 0, loop.monotonicMilliseconds());
        setAnnouncement(null);
        return true;
    }

    /** Returns whether an incarnation of an upstream has announced that it stops. */
    boolean hasAnnouncedStop(UpstreamIncarnation incarnation) {
        return stopNotice != null
                && stopNotice.identity().equals(incarnation.identity())
                && stopNotice.startEpochMilliseconds() != 0
                && stopNotice.startEpochMilliseconds() == incarnation.startEpochMilliseconds();
    }

    /** Returns whether the known incarnation announced, before a time of the loop's clock, that it stops. */
    boolean hasAnnouncedStopBefore(long time) {
        return stopNotice != null
                && stopNotice.identity().equals(identity)
                && stopNotice.startEpochMilliseconds() == startEpochMilliseconds
                && stopNotice.receivedAt() <= time;
    }

    /** Returns whether the upstream accepts runs: it is announced, not leaving, and its runs are listed. */
    boolean isAccepting() {
        return announcement != null && !announcement.leaving() && isListedUnderCurrentToken();
    }

    String service() {
        return announcement == null ? "" : announcement.description().service();
    }

    List<String> labels() {
        return announcement == null ? List.of() : announcement.description().labels();
    }

    Resources capacity() {
        return announcement == null
                ? Resources.NONE
                : announcement.description().capacity();
    }

    /** Returns how much longer the upstream expects to be slow after its start, in milliseconds; 0 if it is warm. */
    long coldMilliseconds() {
        return Math.max(0, coldUntil - loop.monotonicMilliseconds());
    }

    String identity() {
        return identity;
    }

    /** Returns when the known incarnation of the upstream started, in milliseconds since 1970; 0 if unknown. */
    long startEpochMilliseconds() {
        return startEpochMilliseconds;
    }

    /** Records that another upstream, or another incarnation, answered an order addressed to the known one. */
    void recordIdentityMismatch() {
        addressAnyUpstream = true;
        lastListingFenceToken = 0;
    }

    /**
     * Sets the description of the upstream that an earlier incarnation of this process had stored; it is used if the
     * upstream has not restarted since.
     */
    void restoreDescription(UpstreamIncarnation earlier) {
        earlierDescription = earlier;
        restoreIfSameIncarnation();
    }

    private void restoreIfSameIncarnation() {
        if (announcement == null
                && earlierDescription != null
                && startEpochMilliseconds != 0
                && earlierDescription.startEpochMilliseconds() == startEpochMilliseconds
                && (stopNotice == null || !stopNotice.identity().equals(earlierDescription.identity()))) {
            identity = earlierDescription.identity();
            announcement = new UpstreamAnnouncement(
                    earlierDescription, /* sequence= */ 0, /* leaving= */ false, /* coldMilliseconds= */ 0);
            loop.log()
                    .event(
                            EventName.UPSTREAM_RECALLED,
                            EventKey.IDENTITY,
                            identity,
                            EventKey.BORN,
                            startEpochMilliseconds);
        }
    }

    /**
     * Records which incarnation sent a message; an empty identity and a start time of 0 are unknown. Returns true if
     * the sender replaces a known incarnation, whose runs have ended.
     */
    boolean recordIncarnation(String senderIdentity, long senderStartEpochMilliseconds) {
        addressAnyUpstream = false;
        String name = senderIdentity.isEmpty() ? identity : senderIdentity;
        if (name.equals(identity)
                && (senderStartEpochMilliseconds == 0
                        || startEpochMilliseconds == 0
                        || senderStartEpochMilliseconds == startEpochMilliseconds)) {
            startEpochMilliseconds = Math.max(startEpochMilliseconds, senderStartEpochMilliseconds);
            restoreIfSameIncarnation();
            return false;
        }
        boolean wasKnown = !identity.isEmpty();
        loop.log()
                .event(
                        EventName.UPSTREAM_LIFE,
                        EventKey.IDENTITY,
                        name,
                        EventKey.BORN,
                        senderStartEpochMilliseconds,
                        EventKey.BEFORE,
                        identity,
                        EventKey.BORN_BEFORE,
                        startEpochMilliseconds);
        identity = name;
        startEpochMilliseconds = senderStartEpochMilliseconds;
        if (wasKnown) {
            clock.forget();
            requestedLeaseExpiry = Long.MIN_VALUE / 2;
            if (fenceToken > 0) {
                raiseFenceToken("upstream-reborn");
            }
            lastListingFenceToken = 0;
            lastListingClock = 0;
        }
        return wasKnown;
    }

    /** Returns whether the upstream's clock was read so lately that a lease can be computed from it. */
    boolean isClockRead() {
        return clock.isReadSince(loop.monotonicMilliseconds() - MAXIMUM_CLOCK_AGE_MILLISECONDS);
    }

    /** Records a reading of the upstream's clock; returns true if this process must have been suspended. */
    boolean readClock(long reading) {
        boolean jumped = clock.update(reading, loop.monotonicMilliseconds());
        if (jumped) {
            loop.log().event(EventName.SUSPENDED, EventKey.CLOCK, reading);
        }
        return jumped;
    }

    /**
     * Returns the common fields of an order that also extends the lease of the upstream's runs, if its clock is known.
     * An order that may not extend the lease repeats the expiry that was requested before, unless it has passed.
     */
    Order leaseOrder() {
        long now = loop.monotonicMilliseconds();
        long estimate = clock.estimate(now);
        long latestExpiry = Math.min(now + leaseMilliseconds, latestLeaseExpiry.getAsLong());
        if (latestExpiry > requestedLeaseExpiry) {
            requestedLeaseExpiry = latestExpiry;
            requestedExpiryReading = estimate + latestExpiry - now;
        }
        // The reading was too high if the upstream's clock is slow; the present one is if this process was suspended.
        long expiryReading = Math.min(requestedExpiryReading, estimate + remainingLeaseMilliseconds());
        return new Order(
                addressAnyUpstream ? "" : identity,
                fenceToken,
                clock.isKnown() && expiryReading > estimate ? expiryReading : 0);
    }

    /** Returns whether an order can carry a lease that has not expired. */
    boolean isLeaseAvailable() {
        return latestLeaseExpiry.getAsLong() > loop.monotonicMilliseconds() || remainingLeaseMilliseconds() > 0;
    }

    /**
     * Returns how long the lease that was requested last is still valid, in milliseconds; not positive if it is not.
     */
    long remainingLeaseMilliseconds() {
        return requestedLeaseExpiry - loop.monotonicMilliseconds();
    }

    /** Returns the common fields of an order that extends no lease. */
    Order orderWithoutLease() {
        return new Order(addressAnyUpstream ? "" : identity, fenceToken, /* leaseExpiryMilliseconds= */ 0);
    }
}
