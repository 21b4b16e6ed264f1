package io.caperturn.store.claim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of the pace of transactions under a write limit. */
class BatchPaceTest {
    private static final int MANY = 1_000;

    @ParameterizedTest
    @ValueSource(longs = {0, 20, 900})
    void slowsDownWhenLimitedAndComesBackToItsMinimum(long minimumMilliseconds) {
        Duration minimum = Duration.ofMillis(minimumMilliseconds);
        BatchPace pace = new BatchPace(minimum);
        for (int number = 0; number < MANY; number++) {
            pace.limited();
        }
        Duration slow = pace.interval();
        for (int number = 0; number < MANY; number++) {
            pace.committed();
        }

        assertTrue(slow.compareTo(minimum) >= 0 && slow.compareTo(Duration.ofSeconds(1)) <= 0, slow.toString());
        assertEquals(minimum, pace.interval());
    }
}
