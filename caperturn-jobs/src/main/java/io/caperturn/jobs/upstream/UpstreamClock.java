package io.caperturn.jobs.upstream;

/**
 * Estimate of the upstream's clock, in which the expiry of leases is expressed; all times are in milliseconds.
 *
 * <p>After a suspension of this process, during which its own clock does not advance, the estimate lags behind: leases
 * computed from it have already expired, and the upstream refuses the order.
 */
final class UpstreamClock {
    /** Difference that indicates a suspension or another incarnation of the upstream, in milliseconds. */
    private static final long JUMP_MILLISECONDS = 300;

    /** Time of the local clock at the last reading. */
    private long readAt;

    private long reading;
    private boolean known;

    /**
     * Updates the estimate from a reading; returns true if the upstream's clock has advanced much further than the
     * local one.
     */
    boolean update(long newReading, long now) {
        boolean jumped = known && newReading - estimate(now) > JUMP_MILLISECONDS;
        reading = newReading;
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

    /** Returns the estimated reading of the upstream's clock at a time of the local clock. */
    long estimate(long now) {
        return reading + (now - readAt);
    }
}
