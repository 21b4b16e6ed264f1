package io.caperturn.store.claim;

import java.time.Duration;

/**
 * Minimum interval between the starts of two transactions, adapted to the store's limit on writes.
 *
 * <p>Each refusal because of the limit lengthens the interval, and each commit shortens it a little, so that entries
 * that share one limit each settle at a part of it without coordination. Confined to the thread of the
 * {@link ClaimWriter}.
 */
final class AdaptiveBatchInterval {
    private static final long FIRST_LENGTHENED_NANOSECONDS =
            Duration.ofMillis(8).toNanos();
    private static final long MAXIMUM_NANOSECONDS = Duration.ofMillis(500).toNanos();
    private static final long LENGTHENING_DIVISOR = 4;
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
        intervalNanoseconds = shortened < FIRST_LENGTHENED_NANOSECONDS / 2
                ? minimumIntervalNanoseconds
                : Math.max(minimumIntervalNanoseconds, shortened);
    }

    void onRateLimited() {
        long lengthened =
                Math.max(FIRST_LENGTHENED_NANOSECONDS, intervalNanoseconds + intervalNanoseconds / LENGTHENING_DIVISOR);
        intervalNanoseconds = Math.max(minimumIntervalNanoseconds, Math.min(MAXIMUM_NANOSECONDS, lengthened));
    }
}
