package io.caperturn.store.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of the interval between transactions under a limit on writes. */
class AdaptiveBatchIntervalTest {
    /** Enough refusals to reach the maximum interval, and commits to reach the minimum. */
    private static final int REPEATS = 1_000;

    @ParameterizedTest
    @ValueSource(longs = {0, 20, 900})
    void lengthensWhenRateLimitedAndReturnsToMinimum(long minimumMilliseconds) {
        Duration minimum = Duration.ofMillis(minimumMilliseconds);
        AdaptiveBatchInterval interval = new AdaptiveBatchInterval(minimum);
        for (int number = 0; number < REPEATS; number++) {
            interval.onRateLimited();
        }
        Duration lengthened = interval.current();
        for (int number = 0; number < REPEATS; number++) {
            interval.onCommitted();
        }

        assertTrue(
                lengthened.compareTo(minimum) >= 0 && lengthened.compareTo(Duration.ofSeconds(1)) <= 0,
                lengthened.toString());
        assertEquals(minimum, interval.current());
    }
}
