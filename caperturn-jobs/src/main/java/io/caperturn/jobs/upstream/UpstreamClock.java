package io.caperturn.jobs.upstream;

/**
 * Estimate of the upstream's clock, on which leases are measured.
 *
 * <p>The estimate errs to the early side while this process is suspended and its own clock stands still: leases that
 * are worked out from it then lie in the past, and the upstream refuses the order.
 */
final class UpstreamClock {
    /** Difference that tells of a suspension or of another life of the upstream, in milliseconds. */
    private static final long JUMP_MILLISECONDS = 300;

    private long readAt;
    private long reading;
    private boolean known;

    /** Takes a reading from an answer; gives true if that clock ran on much further than ours since the last one. */
    boolean read(long clock, long now) {
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
