package io.caperturn.testkit.platform;

/** Token bucket that allows bursts of up to one second's writes. Thread-safe. */
final class WriteRateLimiter {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private double tokens = Double.MAX_VALUE;
    private long lastRefillNanoseconds;

    synchronized boolean tryAcquire(int perSecond, long nowNanoseconds) {
        double elapsedSeconds = (nowNanoseconds - lastRefillNanoseconds) / NANOSECONDS_PER_SECOND;
        tokens = Math.min(perSecond, tokens + elapsedSeconds * perSecond);
        lastRefillNanoseconds = nowNanoseconds;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
