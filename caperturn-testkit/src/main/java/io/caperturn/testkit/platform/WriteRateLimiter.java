package io.caperturn.testkit.platform;

/** Token bucket that limits writes per second and allows bursts of one second's writes. Thread-safe. */
final class WriteRateLimiter {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private double tokens = Double.MAX_VALUE;
    private long lastRefillNanoseconds;

    /** Returns whether a write is allowed now; the first call fills the bucket. */
    synchronized boolean tryAcquire(int writesPerSecond, long nowNanoseconds) {
        double elapsedSeconds = (nowNanoseconds - lastRefillNanoseconds) / NANOSECONDS_PER_SECOND;
        tokens = Math.min(writesPerSecond, tokens + elapsedSeconds * writesPerSecond);
        lastRefillNanoseconds = nowNanoseconds;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
