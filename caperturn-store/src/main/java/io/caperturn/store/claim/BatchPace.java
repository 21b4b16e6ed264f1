package io.caperturn.store.claim;

import java.time.Duration;

/**
 * Interval between the begins of two transactions, which follows the store's write limit.
 *
 * <p>Lengthened by each refusal for too many writes and shortened a little by each commit, so that entries which share
 * a limit each find their part of it without knowing of each other. Confined to the thread of the {@link ClaimWriter}.
 */
final class BatchPace {
    private static final long FIRST_STEP_NANOSECONDS = Duration.ofMillis(8).toNanos();
    private static final long MAXIMUM_NANOSECONDS = Duration.ofMillis(500).toNanos();
    private static final long LENGTHENING_DIVISOR = 4;
    private static final long SHORTENING_DIVISOR = 64;

    private final long minimumNanoseconds;
    private long nanoseconds;

    BatchPace(Duration minimum) {
        minimumNanoseconds = minimum.toNanos();
        nanoseconds = minimumNanoseconds;
    }

    Duration interval() {
        return Duration.ofNanos(nanoseconds);
    }

    void committed() {
        long shorter = nanoseconds - nanoseconds / SHORTENING_DIVISOR;
        nanoseconds = shorter < FIRST_STEP_NANOSECONDS / 2 ? minimumNanoseconds : Math.max(minimumNanoseconds, shorter);
    }

    void limited() {
        long longer = Math.max(FIRST_STEP_NANOSECONDS, nanoseconds + nanoseconds / LENGTHENING_DIVISOR);
        nanoseconds = Math.max(minimumNanoseconds, Math.min(MAXIMUM_NANOSECONDS, longer));
    }
}
