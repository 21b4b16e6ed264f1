package io.caperturn.core.schedule;

/**
 * Rate at which tasks of a kind leave the queue because they start.
 *
 * <p>The rate covers the last one to two seconds: starts are counted in windows of one second, and the previous window
 * is weighted by the part of the current one that has not elapsed.
 */
final class DrainRate {
    private static final long WINDOW_NANOSECONDS = 1_000_000_000L;

    private long windowStart = Long.MIN_VALUE;
    private int currentStarts;
    private int previousStarts;

    void recordStart(long now) {
        advance(now);
        currentStarts++;
    }

    /** Returns the starts per second, 0 if there were none in the last two seconds. */
    double perSecond(long now) {
        advance(now);
        double elapsed = (double) (now - windowStart) / WINDOW_NANOSECONDS;
        return Math.max(currentStarts, currentStarts + previousStarts * (1 - elapsed));
    }

    private void advance(long now) {
        if (windowStart == Long.MIN_VALUE || now - windowStart >= 2 * WINDOW_NANOSECONDS) {
            windowStart = now;
            previousStarts = 0;
            currentStarts = 0;
        } else if (now - windowStart >= WINDOW_NANOSECONDS) {
            windowStart += WINDOW_NANOSECONDS;
            previousStarts = currentStarts;
            currentStarts = 0;
        }
    }
}
