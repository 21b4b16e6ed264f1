package io.caperturn.jobs.upstream;

/**
 * Estimate of the upstream's clock, in whose time leases are expressed.
 *
 * <p>After a suspension of this process, during which its own clock does not advance, the estimate is too early: leases
 * computed from it have already expired, and the upstream refuses the order.
 */
final class UpstreamClock {
    /** Difference that indicates a suspension or another incarnation of the upstream, in milliseconds. */
    private static final long JUMP_MILLISECONDS = 300;

    private long readAt;
    private long reading;
    private boolean known;

    /**
     * Updates the estimate from a reading; returns true if the upstream's clock has advanced much further than the
     * local one.
     */
    boolean update(long clock, long now) {
        boolean jumped = known && clock - estimate(now) > JUMP_MILLISECONDS;
        reading = clock;
        readAt = now;
        known = true;
        return jumped;
    }

    boolean isKnown() {
        return known;
    }

    void forget() {
        known = false;
    }

    long estimate(long now) {
        return reading + (now - readAt);
    }
}
