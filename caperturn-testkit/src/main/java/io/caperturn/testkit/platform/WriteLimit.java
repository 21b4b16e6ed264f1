package io.caperturn.testkit.platform;

/** Token bucket of one second's depth; may be used by several threads. */
final class WriteLimit {
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private double tokens = Double.MAX_VALUE;
    private long filledNanoseconds;

    synchronized boolean take(int perSecond, long nowNanoseconds) {
        double elapsedSeconds = (nowNanoseconds - filledNanoseconds) / NANOSECONDS_PER_SECOND;
        tokens = Math.min(perSecond, tokens + elapsedSeconds * perSecond);
        filledNanoseconds = nowNanoseconds;
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
