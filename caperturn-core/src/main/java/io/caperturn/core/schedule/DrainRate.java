package io.caperturn.core.schedule;

/**
 * Rate at which tasks of one kind (type of task) leave the queue because they start.
 *
 * <p>The rate covers the last one to two seconds. Starts are counted in windows of one second, and those of the
 * previous window are weighted by the fraction of the current window that has not elapsed. Times of type long are in
 * nanoseconds since the epoch.
 */
final class DrainRate {
    private static final long WINDOW_NANOSECONDS = 1_000_000_000L;

    private long windowStart = Long.MIN_VALUE;
    private int currentStarts;
    private int previousStarts;

    void recordStart(long now) {
        advanceWindow(now);
        currentStarts++;
    }

    /** Returns the rate, 0 if there were no starts in the last two seconds. */
    double startsPerSecond(long now) {
        advanceWindow(now);
        double elapsedFraction = (double) (now - windowStart) / WINDOW_NANOSECONDS;
        return Math.max(currentStarts, currentStarts + previousStarts * (1 - elapsedFraction));
    }

    private void advanceWindow(long now) {
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
