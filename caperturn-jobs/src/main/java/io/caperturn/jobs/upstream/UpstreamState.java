package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.UpstreamIncarnation;
import io.caperturn.jobs.upstream.UpstreamPort.Order;
import java.util.List;

/** Known state of a sidecar's upstream: its current incarnation, its clock, and the current fencing token. */
final class UpstreamState {
    /** Number of fencing tokens that this process can assign itself between two registrations in the store. */
    private static final long FENCES_PER_REGISTRATION = 1_000;

    private final DecisionLoop loop;
    private final long leaseMilliseconds;
    private final UpstreamClock clock = new UpstreamClock();
    private UpstreamAnnouncement announcement;
    /** Description stored by an earlier incarnation of this sidecar; null if there is none. */
    private UpstreamIncarnation earlierDescription;

    private String identity = "";
    /** When the known incarnation of the upstream started, in milliseconds since 1970; 0 if unknown. */
    private long born;

    /** Whether orders address any upstream that answers, because another one than the known one has answered. */
    private boolean addressAny;

    private long fence;
    /** Fencing token of the last listing; 0 if the known incarnation has not been listed. */
    private long listedFence;

    UpstreamState(DecisionLoop loop, long leaseMilliseconds) {
        this.loop = loop;
        this.leaseMilliseconds = leaseMilliseconds;
    }

    /**
     * Derives the fencing token from a registration number, unique among this sidecar's incarnations; returns false if
     * the token does not increase.
     */
    boolean setRegistration(long registration) {
        long next = registration * FENCES_PER_REGISTRATION;
        if (next <= fence) {
            return false;
        }
        fence = next;
        loop.log().event(EventName.FENCE, EventKey.NUMBER, fence, EventKey.CAUSE, "registered");
        return true;
    }

    void raiseFence(String cause) {
        fence++;
        loop.log().event(EventName.FENCE, EventKey.NUMBER, fence, EventKey.CAUSE, cause);
    }

    long fence() {
        return fence;
    }

    /** Returns whether the upstream's runs have been listed under the current fencing token. */
    boolean isListed() {
        return fence > 0 && listedFence == fence;
    }

    /** Records a listing; returns true if it is the first under its fencing token. */
    boolean recordListing(long listingFence) {
        boolean first = listedFence != listingFence;
        listedFence = listingFence;
        return first;
    }

    /** Returns whether the runs of the known incarnation of the upstream have been listed. */
    boolean hasListing() {
        return listedFence != 0;
    }

    UpstreamAnnouncement announcement() {
        return announcement;
    }

    void setAnnouncement(UpstreamAnnouncement latest) {
        announcement = latest;
    }

    /** Returns whether the upstream accepts runs: it is announced, not leaving, and its runs are listed. */
    boolean isAccepting() {
        return announcement != null && !announcement.leaving() && isListed();
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

    String identity() {
        return identity;
    }

    /** Records that another upstream, or another incarnation, answered an order addressed to the known one. */
    void recordMismatch() {
        addressAny = true;
        listedFence = 0;
    }

    /**
     * Sets the description that an earlier incarnation of this process had; it is used if the upstream has not
     * restarted.
     */
    void restore(UpstreamIncarnation earlier) {
        earlierDescription = earlier;
        restoreIfSame();
    }

    private void restoreIfSame() {
        if (announcement == null && earlierDescription != null && born != 0 && earlierDescription.born() == born) {
            identity = earlierDescription.identity();
            announcement = new UpstreamAnnouncement(earlierDescription, 0, false);
            loop.log().event(EventName.UPSTREAM_RECALLED, EventKey.IDENTITY, identity, EventKey.BORN, born);
        }
    }

    /** Records which incarnation answered; returns true if it replaces a known one, whose runs have ended. */
    boolean recordIncarnation(String answeringIdentity, long answeringBorn) {
        addressAny = false;
        String name = answeringIdentity.isEmpty() ? identity : answeringIdentity;
        if (name.equals(identity) && (answeringBorn == 0 || born == 0 || answeringBorn == born)) {
            born = Math.max(born, answeringBorn);
            restoreIfSame();
            return false;
        }
        boolean wasKnown = !identity.isEmpty();
        loop.log()
                .event(
                        EventName.UPSTREAM_LIFE,
                        EventKey.IDENTITY,
                        name,
                        EventKey.BORN,
                        answeringBorn,
                        EventKey.BEFORE,
                        identity,
                        EventKey.BORN_BEFORE,
                        born);
        identity = name;
        born = answeringBorn;
        if (wasKnown) {
            clock.forget();
            if (fence > 0) {
                raiseFence("upstream-reborn");
            }
            listedFence = 0;
        }
        return wasKnown;
    }

    boolean isClockKnown() {
        return clock.isKnown();
    }

    /** Records a reading of the upstream's clock; returns true if this process must have been suspended. */
    boolean readClock(long reading) {
        boolean jumped = clock.update(reading, loop.monotonicMilliseconds());
        if (jumped) {
            loop.log().event(EventName.SUSPENDED, EventKey.CLOCK, reading);
        }
        return jumped;
    }

    /** Returns the common fields of an order that also extends the lease. */
    Order leaseOrder() {
        long until = clock.isKnown() ? clock.estimate(loop.monotonicMilliseconds()) + leaseMilliseconds : 0;
        return new Order(addressAny ? "" : identity, fence, until);
    }

    /** Returns the common fields of an order that extends no lease. */
    Order orderWithoutLease() {
        return new Order(addressAny ? "" : identity, fence, 0);
    }
}
