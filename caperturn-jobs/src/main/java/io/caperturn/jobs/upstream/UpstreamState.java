package io.caperturn.jobs.upstream;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.UpstreamIncarnation;
import io.caperturn.jobs.upstream.UpstreamPort.Order;
import java.util.List;

/** What a sidecar believes of its upstream: which life of it answers, its clock, and the fencing number in force. */
final class UpstreamState {
    /** Room for fencing numbers that this process gives itself between two that the store gave. */
    private static final long FENCES_FOR_EACH_REGISTRATION = 1_000;

    private final DecisionLoop loop;
    private final long leaseMilliseconds;
    private final UpstreamClock clock = new UpstreamClock();
    private UpstreamAnnouncement announcement;
    private UpstreamIncarnation remembered;
    private String identity = "";
    private long born;
    private boolean anyLife;
    private long fence;
    private long listedFence;

    UpstreamState(DecisionLoop loop, long leaseMilliseconds) {
        this.loop = loop;
        this.leaseMilliseconds = leaseMilliseconds;
    }

    /** Takes a number that the store has given to no other life of this sidecar; gives false if it changes nothing. */
    boolean registered(long registration) {
        long next = registration * FENCES_FOR_EACH_REGISTRATION;
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

    /** Tells whether the upstream's own list under the present fencing number is known. */
    boolean isListed() {
        return fence > 0 && listedFence == fence;
    }

    /** Notes a listing; gives true if it is the first under its fencing number. */
    boolean listed(long number) {
        boolean first = listedFence != number;
        listedFence = number;
        return first;
    }

    boolean wasEverListed() {
        return listedFence != 0;
    }

    UpstreamAnnouncement announcement() {
        return announcement;
    }

    void announcement(UpstreamAnnouncement news) {
        announcement = news;
    }

    boolean isWilling() {
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

    /** Notes that another upstream, or another life of it, answered an order that was meant for the known one. */
    void mistaken() {
        anyLife = true;
        listedFence = 0;
    }

    /** Takes what an earlier life of this process knew of the upstream, to be used if that life of it still lasts. */
    void remember(UpstreamIncarnation earlier) {
        remembered = earlier;
        recall();
    }

    private void recall() {
        if (announcement == null && remembered != null && born != 0 && remembered.born() == born) {
            identity = remembered.identity();
            announcement = new UpstreamAnnouncement(remembered, 0, false);
            loop.log().event(EventName.UPSTREAM_RECALLED, EventKey.IDENTITY, identity, EventKey.BORN, born);
        }
    }

    /** Notes which life answers; gives true if it took the place of a known one, whose runs are over. */
    boolean answeredBy(String who, long when) {
        anyLife = false;
        String name = who.isEmpty() ? identity : who;
        if (name.equals(identity) && (when == 0 || born == 0 || when == born)) {
            born = Math.max(born, when);
            recall();
            return false;
        }
        boolean known = !identity.isEmpty();
        loop.log()
                .event(
                        EventName.UPSTREAM_LIFE,
                        EventKey.IDENTITY,
                        name,
                        EventKey.BORN,
                        when,
                        EventKey.BEFORE,
                        identity,
                        EventKey.BORN_BEFORE,
                        born);
        identity = name;
        born = when;
        if (known) {
            clock.forget();
            if (fence > 0) {
                raiseFence("upstream-reborn");
            }
            listedFence = 0;
        }
        return known;
    }

    boolean isClockKnown() {
        return clock.isKnown();
    }

    /** Takes a reading of the upstream's clock; gives true if this process must have been suspended. */
    boolean readClock(long reading) {
        boolean jumped = clock.read(reading, loop.monotonicMilliseconds());
        if (jumped) {
            loop.log().event(EventName.SUSPENDED, EventKey.CLOCK, reading);
        }
        return jumped;
    }

    /** Gives what an order carries that also extends the lease. */
    Order order() {
        long until = clock.isKnown() ? clock.estimate(loop.monotonicMilliseconds()) + leaseMilliseconds : 0;
        return new Order(anyLife ? "" : identity, fence, until);
    }

    /** Gives what an order carries that extends nothing. */
    Order orderWithoutLease() {
        return new Order(anyLife ? "" : identity, fence, 0);
    }
}
