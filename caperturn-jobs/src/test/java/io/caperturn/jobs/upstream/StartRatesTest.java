package io.caperturn.jobs.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the chance that a run of a queue starts within a time; times are in milliseconds. */
class StartRatesTest {
    private final StartRates rates = new StartRates();

    @ParameterizedTest
    @CsvSource({"50, 10, 0.18", "100, 10, 0.10", "100, 200, 0.86", "400, 10, 0.025"})
    void chanceFollowsTheIntervalOfStarts(long interval, long within, double expected) {
        for (long now = 0; now < 20_000; now += interval) {
            rates.recordStart("queue", now);
        }
        assertEquals(expected, rates.chanceOfStartWithin("queue", within), 0.15 * expected);
    }

    /** Guards against taking the starts of a young sidecar for rare ones. */
    @ParameterizedTest
    @CsvSource({"1000", "2000", "20000"})
    void rateOfAShortObservationIsNotTooLow(long observed) {
        for (long now = 0; now < observed; now += 50) {
            rates.recordStart("queue", now);
        }
        assertEquals(0.18, rates.chanceOfStartWithin("queue", 10), 0.03);
    }

    @Test
    void tasksOfAJobThatStartTogetherCountAsOneStart() {
        StartRates single = new StartRates();
        for (long now = 0; now < 20_000; now += 200) {
            single.recordStart("queue", now);
            for (int task = 0; task < 4; task++) {
                rates.recordStart("queue", now + task);
            }
        }
        assertEquals(single.chanceOfStartWithin("queue", 20), rates.chanceOfStartWithin("queue", 20), 0.01);
    }

    @Test
    void queueWithoutAStartTellsNothing() {
        assertTrue(rates.chanceOfStartWithin("queue", 1) == 1);
    }
}
