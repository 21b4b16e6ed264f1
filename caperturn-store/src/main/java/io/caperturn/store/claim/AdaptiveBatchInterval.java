package io.caperturn.store.claim;

import java.time.Duration;

/**
 * Minimum interval between the starts of two transactions, each of which writes a batch of claims; adapted to the
 * store's limit on writes.
 *
 * <p>Each refusal because of the limit lengthens the interval, and each commit shortens it a little. Entries (processes
 * that accept submissions) that share one limit thereby divide it among themselves without coordination. Confined to
 * the thread of the {@link ClaimWriter}.
 */
final class AdaptiveBatchInterval {
    /** Minimum interval after a refusal, as an interval of zero would not grow by a fraction of itself. */
    private static final long MINIMUM_BACKOFF_NANOSECONDS = Duration.ofMillis(8).toNanos();

    private static final long MAXIMUM_NANOSECONDS = Duration.ofMillis(500).toNanos();

    /** The interval divided by this is added to it after a refusal. */
    private static final long LENGTHENING_DIVISOR = 4;

    /** The interval divided by this is subtracted from it after a commit. */
    private static final long SHORTENING_DIVISOR = 64;

    private final long minimumIntervalNanoseconds;
    private long intervalNanoseconds;

    AdaptiveBatchInterval(Duration minimumInterval) {
        minimumIntervalNanoseconds = minimumInterval.toNanos();
        intervalNanoseconds = minimumIntervalNanoseconds;
    }

    Duration current() {
        return Duration.ofNanos(intervalNanoseconds);
    }

    void onCommitted() {
        long shortened = intervalNanoseconds - intervalNanoseconds / SHORTENING_DIVISOR;
        // A decrease by a fraction never reaches a minimum of zero, so a short interval drops to the minimum at once.
        intervalNanoseconds = shortened < MINIMUM_BACKOFF_NANOSECONDS / 2
                ? minimumIntervalNanoseconds
                : Math.max(minimumIntervalNanoseconds, shortened);
    }

    void onRateLimited() {
        long lengthened =
                Math.max(MINIMUM_BACKOFF_NANOSECONDS, intervalNanoseconds + intervalNanoseconds / LENGTHENING_DIVISOR);
        intervalNanoseconds = Math.max(minimumIntervalNanoseconds, Math.min(MAXIMUM_NANOSECONDS, lengthened));
    }
}
