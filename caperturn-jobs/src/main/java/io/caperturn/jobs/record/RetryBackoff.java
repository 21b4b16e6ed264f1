package io.caperturn.jobs.record;

import java.util.random.RandomGenerator;

/**
 * Delays between the retries of one call: exponential with full jitter, after M. Brooker, "Exponential Backoff And
 * Jitter", AWS Architecture Blog, 2015. Each delay is uniform between 0 and a limit that doubles with each failure.
 */
public final class RetryBackoff {
    private final RandomGenerator random;
    private final long firstLimitMilliseconds;
    private final long lastLimitMilliseconds;
    private long limitMilliseconds;

    /**
     * Creates a back-off for a call that has not failed.
     *
     * @param random source of the jitter
     * @param firstLimitMilliseconds limit of the first delay, in milliseconds, at least 1
     * @param lastLimitMilliseconds limit of every delay, in milliseconds
     */
    RetryBackoff(RandomGenerator random, long firstLimitMilliseconds, long lastLimitMilliseconds) {
        if (firstLimitMilliseconds < 1 || lastLimitMilliseconds < firstLimitMilliseconds) {
            throw new IllegalArgumentException(
                    "limits of delays: " + firstLimitMilliseconds + " to " + lastLimitMilliseconds);
        }
        this.random = random;
        this.firstLimitMilliseconds = firstLimitMilliseconds;
        this.lastLimitMilliseconds = lastLimitMilliseconds;
        this.limitMilliseconds = firstLimitMilliseconds;
    }

    /**
     * Returns the delay after a failure.
     *
     * @return the delay in milliseconds
     */
    public long nextDelayMilliseconds() {
        long delay = random.nextLong(limitMilliseconds + 1);
        limitMilliseconds = Math.min(lastLimitMilliseconds, 2 * limitMilliseconds);
        return delay;
    }

    /** Records a success: the next failure begins a new series. */
    public void reset() {
        limitMilliseconds = firstLimitMilliseconds;
    }
}
