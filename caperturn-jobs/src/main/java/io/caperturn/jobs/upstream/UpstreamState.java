package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.UpstreamIncarnation;
import io.caperturn.jobs.upstream.UpstreamPort.Order;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.LongSupplier;

/**
 * Belief of a sidecar process about its upstream: which incarnation (the time from a start to the next stop) is the
 * present one, what is known of it, and the fencing token of orders to it. The upstream refuses orders with a lower
 * token than it has seen.
 *
 * <p>Each message of the upstream is recorded here, which replaces the known incarnation if another one has sent it.
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
     * Time after the notice of an upstream that it stops by which each heartbeat that it sent before has arrived, in
     * milliseconds.
     */
    private static final long MAXIMUM_HEARTBEAT_DELAY_MILLISECONDS = 5_000;

    private final DecisionLoop loop;
    private final long leaseMilliseconds;
    /** Returns up to when the upstream's lease may be extended, in milliseconds of the loop's clock. */
    private final LongSupplier latestLeaseExpiry;

    private final IncarnationListener listener;

    /** The incarnation that is taken for the present one. */
    private KnownIncarnation incarnation = new KnownIncarnation(/* identity= */ "", /* startEpochMilliseconds= */ 0);

    /** Number of that incarnation, from 1 over the lifetime of this process. */
    private long incarnationNumber = 1;

    /** Description stored by an earlier incarnation of this sidecar; null if there is none. */
    private UpstreamIncarnation earlierDescription;

    /** Whether orders address any upstream that answers, because a different one than the known one has answered. */
    private boolean addressAnyUpstream;

    private long fenceToken;

    /** Listener for the replacement of the known incarnation by another one. */
    interface IncarnationListener {
        /** Called while the known incarnation is still the one that is about to be replaced. */
        void incarnationEnding();

        /** Called once the other incarnation is the known one; nothing but its name and start is known yet. */
        void incarnationReplaced();
    }

    /**
     * Creates the state of an unknown upstream.
     *
     * @param loop the loop on which all calls are made
     * @param leaseMilliseconds maximum lease that the upstream grants, in milliseconds
     * @param latestLeaseExpiry supplies the time up to which its lease may be extended, on the loop's clock
     * @param listener listener for the replacement of the known incarnation
     */
    UpstreamState(
            DecisionLoop loop, long leaseMilliseconds, LongSupplier latestLeaseExpiry, IncarnationListener listener) {
        this.loop = loop;
        this.leaseMilliseconds = leaseMilliseconds;
        this.latestLeaseExpiry = latestLeaseExpiry;
        this.listener = listener;
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

    /** Returns the incarnation that is taken for the present one, to which the orders of this moment belong. */
    KnownIncarnation incarnation() {
        return incarnation;
    }

    /** Returns whether the upstream's runs have been listed under the current fencing token. */
    boolean isListedUnderCurrentToken() {
        return fenceToken > 0 && incarnation.lastListingFenceToken() == fenceToken;
    }

    /** Returns whether the runs of the known incarnation of the upstream have been listed. */
    boolean isIncarnationListed() {
        return incarnation.lastListingFenceToken() != 0;
    }

    /** Returns the number of the known incarnation, from 1 over the lifetime of this process. */
    long incarnationNumber() {
        return incarnationNumber;
    }

    /** Returns whether the upstream answers, but has told neither what it is nor that it stops. */
    boolean isAwaitingDescription() {
        return isIncarnationListed()
                && incarnation.announcement().isEmpty()
                && incarnation.stopAnnouncedAt().isEmpty();
    }

    /**
     * Records a notice that an upstream stops, by its name; returns false if the known upstream is another one or has
     * sent its notice before.
     *
     * <p>A notice does not tell the start of its sender. It is taken for one of the known incarnation, until a
     * heartbeat shows that this one goes on (see {@link #liftStopNotice}).
     */
    boolean recordStopNotice(String sender) {
        boolean known = incarnation.matches(sender, /* senderStartEpochMilliseconds= */ 0);
        if (!known || incarnation.stopAnnouncedAt().isPresent()) {
            return false;
        }
        incarnation.complete(sender, /* senderStartEpochMilliseconds= */ 0);
        incarnation.recordStopNotice(loop.monotonicMilliseconds());
        return true;
    }

    /** Returns whether the known incarnation has announced that it stops, and a description is of this incarnation. */
    boolean hasAnnouncedStop(UpstreamIncarnation description) {
        return incarnation.stopAnnouncedAt().isPresent() && incarnation.isDescribedBy(description);
    }

    /** Returns whether the known incarnation announced, before a time of the loop's clock, that it stops. */
    boolean hasAnnouncedStopBefore(long time) {
        OptionalLong announcedAt = incarnation.stopAnnouncedAt();
        return announcedAt.isPresent() && announcedAt.getAsLong() <= time;
    }

    /**
     * Takes back that the known incarnation stops, if a heartbeat of it was sent after the notice: an earlier
     * incarnation of the same name had sent that, and it arrived late.
     */
    void liftStopNotice(UpstreamAnnouncement heartbeat) {
        OptionalLong announcedAt = incarnation.stopAnnouncedAt();
        if (announcedAt.isPresent()
                && !heartbeat.leaving()
                && loop.monotonicMilliseconds() > announcedAt.getAsLong() + MAXIMUM_HEARTBEAT_DELAY_MILLISECONDS) {
            incarnation.liftStopNotice();
            loop.log()
                    .event(
                            EventName.STOP_NOTICE_LIFTED,
                            EventKey.IDENTITY,
                            incarnation.identity(),
                            EventKey.BORN,
                            incarnation.startEpochMilliseconds(),
                            EventKey.AFTER,
                            loop.monotonicMilliseconds() - announcedAt.getAsLong());
        }
    }

    /** Returns whether the upstream accepts runs: it is announced, not leaving, and its runs are listed. */
    boolean isAccepting() {
        return incarnation.announcement().filter(latest -> !latest.leaving()).isPresent()
                && isListedUnderCurrentToken();
    }

    /** Returns the description of the known incarnation; empty if it has not told what it is, or stops. */
    Optional<UpstreamIncarnation> description() {
        return incarnation.announcement().map(UpstreamAnnouncement::description);
    }

    String service() {
        return description().map(UpstreamIncarnation::service).orElse("");
    }

    List<String> labels() {
        return description().map(UpstreamIncarnation::labels).orElse(List.of());
    }

    Resources capacity() {
        return description().map(UpstreamIncarnation::capacity).orElse(Resources.NONE);
    }

    /** Returns how much longer the upstream expects to be slow after its start, in milliseconds; 0 if it is warm. */
    long coldMilliseconds() {
        return Math.max(0, incarnation.coldUntil() - loop.monotonicMilliseconds());
    }

    String identity() {
        return incarnation.identity();
    }

    /** Returns when the known incarnation of the upstream started, in milliseconds since 1970; 0 if unknown. */
    long startEpochMilliseconds() {
        return incarnation.startEpochMilliseconds();
    }

    /** Records that another upstream, or another incarnation, answered an order addressed to the known one. */
    void recordIdentityMismatch() {
        addressAnyUpstream = true;
        incarnation.forgetListing();
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
        if (incarnation.announcement().isEmpty()
                && earlierDescription != null
                && incarnation.isDescribedBy(earlierDescription)
                && incarnation.stopAnnouncedAt().isEmpty()) {
            incarnation.complete(earlierDescription.identity(), earlierDescription.startEpochMilliseconds());
            incarnation.restoreDescription(earlierDescription);
            loop.log()
                    .event(
                            EventName.UPSTREAM_RECALLED,
                            EventKey.IDENTITY,
                            incarnation.identity(),
                            EventKey.BORN,
                            incarnation.startEpochMilliseconds());
        }
    }

    /**
     * Returns whether an announcement is older than what is known: of an earlier incarnation, or of an earlier time.
     */
    boolean isOutdated(UpstreamAnnouncement latest) {
        return incarnation.startedAfter(latest.startEpochMilliseconds())
                || incarnation.hasOvertaken(latest)
                || incarnation.announcement().filter(latest::isOutdated).isPresent();
    }

    /** Records an announcement, and which incarnation has sent it. */
    void recordAnnouncement(UpstreamAnnouncement latest) {
        // A notice whose sender was not known can be that of an earlier incarnation.
        boolean afterNoticeOfUnknown =
                incarnation.stopAnnouncedAt().isPresent() && incarnation.startEpochMilliseconds() == 0;
        recordSender(latest.identity(), latest.startEpochMilliseconds(), /* replaces= */ afterNoticeOfUnknown);
        incarnation.recordAnnouncement(latest, loop.monotonicMilliseconds());
    }

    /**
     * Records which incarnation has answered a hold. Returns false if that was an earlier one than the known one, which
     * was noticed after the hold had been sent; the answer then tells nothing.
     *
     * @param addressed the incarnation that was known when the hold was sent
     * @param listing the answer
     */
    boolean recordAnswerer(KnownIncarnation addressed, UpstreamPort.Answer.Listing listing) {
        long start = listing.upstreamStartEpochMilliseconds();
        if (addressed != incarnation && incarnation.startedAfter(start)) {
            return false;
        }
        String name = listing.identity().isEmpty() && !addressAnyUpstream ? incarnation.identity() : listing.identity();
        recordSender(name, start, /* replaces= */ false);
        return true;
    }

    private void recordSender(String senderIdentity, long senderStartEpochMilliseconds, boolean replaces) {
        addressAnyUpstream = false;
        if (incarnation.matches(senderIdentity, senderStartEpochMilliseconds) && !replaces) {
            if (!incarnation.isKnown()) {
                logIncarnation(senderIdentity, senderStartEpochMilliseconds);
            }
            incarnation.complete(senderIdentity, senderStartEpochMilliseconds);
            restoreIfSameIncarnation();
            return;
        }
        logIncarnation(senderIdentity, senderStartEpochMilliseconds);
        listener.incarnationEnding();
        incarnation = new KnownIncarnation(senderIdentity, senderStartEpochMilliseconds);
        incarnationNumber++;
        if (fenceToken > 0) {
            raiseFenceToken("upstream-reborn");
        }
        listener.incarnationReplaced();
    }

    private void logIncarnation(String senderIdentity, long senderStartEpochMilliseconds) {
        loop.log()
                .event(
                        EventName.UPSTREAM_LIFE,
                        EventKey.IDENTITY,
                        senderIdentity,
                        EventKey.BORN,
                        senderStartEpochMilliseconds,
                        EventKey.BEFORE,
                        incarnation.identity(),
                        EventKey.BORN_BEFORE,
                        incarnation.startEpochMilliseconds());
    }

    /** Returns whether the upstream's clock was read so lately that a lease can be computed from it. */
    boolean isClockRead() {
        return incarnation.clock().isReadSince(loop.monotonicMilliseconds() - MAXIMUM_CLOCK_AGE_MILLISECONDS);
    }

    /** Returns whether a reading is so far behind the known incarnation's clock that another one must have sent it. */
    boolean isClockOfAnotherIncarnation(long reading) {
        UpstreamClock clock = incarnation.clock();
        return clock.isKnown()
                && clock.estimate(loop.monotonicMilliseconds()) - reading
                        > KnownIncarnation.MAXIMUM_OVERTAKING_MILLISECONDS;
    }

    /** Records a reading of the upstream's clock; returns true if this process must have been suspended. */
    boolean readClock(long reading) {
        boolean jumped = incarnation.clock().update(reading, loop.monotonicMilliseconds());
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
        UpstreamClock clock = incarnation.clock();
        long estimate = clock.estimate(now);
        long latestExpiry = Math.min(now + leaseMilliseconds, latestLeaseExpiry.getAsLong());
        if (latestExpiry > incarnation.requestedLeaseExpiry()) {
            incarnation.recordLeaseRequest(latestExpiry, estimate + latestExpiry - now);
        }
        // The reading was too high if the upstream's clock is slow; the present one is if this process was suspended.
        long expiryReading = Math.min(incarnation.requestedExpiryReading(), estimate + remainingLeaseMilliseconds());
        return new Order(
                addressAnyUpstream ? "" : incarnation.identity(),
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
        return incarnation.requestedLeaseExpiry() - loop.monotonicMilliseconds();
    }

    /** Returns the common fields of an order that extends no lease. */
    Order orderWithoutLease() {
        return new Order(
                addressAnyUpstream ? "" : incarnation.identity(), fenceToken, /* leaseExpiryMilliseconds= */ 0);
    }
}
