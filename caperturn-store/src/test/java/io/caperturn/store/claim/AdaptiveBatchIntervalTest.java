package io.caperturn.store.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of the interval between transactions under a limit on writes. */
class AdaptiveBatchIntervalTest {
    private static final int REPEATS = 1_000;

    @ParameterizedTest
    @ValueSource(longs = {0, 20, 900})
    void lengthensWhenRateLimitedAndReturnsToMinimum(long minimumMilliseconds) {
        Duration minimum = Duration.ofMillis(minimumMilliseconds);
        AdaptiveBatchInterval pace = new AdaptiveBatchInterval(minimum);
        for (int number = 0; number < REPEATS; number++) {
            pace.onRateLimited();
        }
        Duration slow = pace.current();
        for (int number = 0; number < REPEATS; number++) {
            pace.onCommitted();
        }

        assertTrue(slow.compareTo(minimum) >= 0 && slow.compareTo(Duration.ofSeconds(1)) <= 0, slow.toString());
        assertEquals(minimum, pace.current());
    }
}
