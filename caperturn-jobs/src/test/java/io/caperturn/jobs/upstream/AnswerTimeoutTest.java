package io.caperturn.jobs.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the time-out of orders, which follows the times that the upstream takes to answer. */
class AnswerTimeoutTest {
    private static final long MAXIMUM = 250;
    private static final int MANY = 100;

    private final AnswerTimeout timeout = new AnswerTimeout(MAXIMUM);

    @ParameterizedTest
    @CsvSource({"1, 25", "20, 25", "60, 60", "100, 100", "400, 250"})
    void followsSteadyAnswersWithinItsBounds(long answerMilliseconds, long expected) {
        assertEquals(MAXIMUM, timeout.milliseconds(), "before any answer");
        for (int number = 0; number < MANY; number++) {
            timeout.recordAnswer(answerMilliseconds);
        }
        assertEquals(expected, timeout.milliseconds());
    }

    /**
     * A process that has just started is slow itself. An estimate from its first answers made it give up 25 starts at
     * once after a loss of all processes.
     */
    @ParameterizedTest
    @CsvSource({"0, 250", "1, 250", "15, 250", "16, 25"})
    void startsWithTheMaximumUntilEnoughOrdersAreAnswered(int answers, long expected) {
        for (int number = 0; number < answers; number++) {
            timeout.recordAnswer(2);
        }
        assertEquals(expected, timeout.milliseconds());
    }

    /** A slow upstream is not given up again and again: each unanswered order allows the next one twice the time. */
    @ParameterizedTest
    @CsvSource({"1, 50", "2, 100", "3, 200", "4, 250", "100, 250"})
    void growsWithOrdersThatStayUnansweredUntilTheNextAnswer(int unanswered, long expected) {
        for (int number = 0; number < MANY; number++) {
            timeout.recordAnswer(2);
        }
        for (int number = 0; number < unanswered; number++) {
            timeout.recordUnanswered(/* now= */ 0);
        }
        assertEquals(expected, timeout.milliseconds());

        timeout.recordAnswer(2);
        assertEquals(25, timeout.milliseconds());
    }

    @ParameterizedTest
    @ValueSource(longs = {0, 5_000})
    void remembersAnUnansweredOrderForSomeTime(long unansweredAt) {
        assertFalse(timeout.isSilenceRecent(unansweredAt));
        timeout.recordUnanswered(unansweredAt);
        assertTrue(timeout.isSilenceRecent(unansweredAt + 1_999));
        assertFalse(timeout.isSilenceRecent(unansweredAt + 2_000));
    }
}
