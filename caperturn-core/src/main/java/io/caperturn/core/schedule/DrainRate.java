package io.caperturn.core.schedule;

/** Rate at which the queue of a kind drains, from the starts of the last seconds. */
final class DrainRate {
    private static final long WINDOW_NANOSECONDS = 1_000_000_000L;

    private long windowStart = Long.MIN_VALUE;
    private int current;
    private int previous;

    void started(long now) {
        advance(now);
        current++;
    }

    /** Returns starts per second, zero if there were none lately. */
    double perSecond(long now) {
        advance(now);
        double elapsed = (double) (now - windowStart) / WINDOW_NANOSECONDS;
        return Math.max(current, current + previous * (1 - elapsed));
    }

    private void advance(long now) {
        if (windowStart == Long.MIN_VALUE || now - windowStart >= 2 * WINDOW_NANOSECONDS) {
            windowStart = now;
            previous = 0;
            current = 0;
        } else if (now - windowStart >= WINDOW_NANOSECONDS) {
            windowStart += WINDOW_NANOSECONDS;
            previous = current;
            current = 0;
        }
    }
}
