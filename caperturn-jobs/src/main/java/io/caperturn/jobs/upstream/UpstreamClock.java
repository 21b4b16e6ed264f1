package io.caperturn.jobs.upstream;

/**
 * Estimate of the upstream's clock, by which leases of runs expire; all times are in milliseconds. It is updated by
 * readings of that clock, which the upstream's answers contain.
 *
 * <p>After a suspension of this process, during which its own clock does not advance, the estimate lags behind: a lease
 * computed from it has already expired, and the upstream refuses the order that contains it.
 */
final class UpstreamClock {
    /** Difference between reading and estimate that indicates a suspension or a restart of the upstream. */
    private static final long JUMP_MILLISECONDS = 300;

    /** Time of the local clock at the last reading. */
    private long lastReadingAt;

    private long lastReading;
    private boolean known;

    /**
     * Updates the estimate from a reading; returns true if the upstream's clock has advanced much further than the
     * local one.
     */
    boolean update(long newReading, long now) {
        boolean jumped = known && newReading - estimate(now) > JUMP_MILLISECONDS;
        lastReading = newReading;
        lastReadingAt = now;
        known = true;
        return jumped;
    }

    boolean isKnown() {
        return known;
    }

    /** Returns whether the clock is known from a reading at a time of the local clock or later. */
    boolean isReadSince(long time) {
        return known && lastReadingAt >= time;
    }

    void forget() {
        known = false;
    }

    /** Returns the estimated reading of the upstream's clock at a time of the local clock. */
    long estimate(long now) {
        return lastReading + (now - lastReadingAt);
    }
}
