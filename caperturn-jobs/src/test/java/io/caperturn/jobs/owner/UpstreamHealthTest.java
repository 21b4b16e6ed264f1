package io.caperturn.jobs.owner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.TaskIdentity;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests when an upstream is ejected, and that each restriction ends by itself; times are in milliseconds. */
class UpstreamHealthTest {
    private static final RunIdentity PROBE = new RunIdentity(new TaskIdentity("job", 0, 0, 0), 7);
    private static final RunIdentity OTHER = new RunIdentity(new TaskIdentity("job", 0, 0, 1), 7);

    private static UpstreamHealth afterFailuresOf(String jobs) {
        UpstreamHealth health = UpstreamHealth.UNKNOWN;
        for (String job : jobs.split(" ")) {
            health = health.afterFailure(job, /* now= */ 1_000);
        }
        return health;
    }

    /** Guards against a count of failures that depends on the order and the repetition of their reports. */
    @ParameterizedTest
    @CsvSource({"a b c, true", "c b a, true", "a a b c, true", "a b a, false", "a a b, false", "b a b a b, false"})
    void upstreamIsEjectedAfterFailuresOfThreeJobs(String jobs, boolean ejected) {
        assertEquals(ejected, afterFailuresOf(jobs).isEjected(/* now= */ 1_000));
    }

    @Test
    void successEndsTheEjection() {
        UpstreamHealth health = afterFailuresOf("a b c").afterSuccess();
        assertFalse(health.isOnProbation());
        assertTrue(health.isKnownGood());
    }

    @Test
    void probeKeepsOtherTasksAwayUntilItHasEnded() {
        UpstreamHealth health = afterFailuresOf("a b c").afterDispatch(PROBE, /* now= */ 3_000);
        assertTrue(health.isEjected(/* now= */ 3_100));
        assertTrue(health.afterEnd(OTHER).isEjected(/* now= */ 3_100));
        assertFalse(health.afterEnd(PROBE).isEjected(/* now= */ 3_100));
    }

    /** Guards against an upstream that gets no task any more because nothing is heard of a run. */
    @Test
    void everyRestrictionEndsWithoutAnyReport() {
        UpstreamHealth ejected = afterFailuresOf("a b c");
        UpstreamHealth probed = ejected.afterDispatch(PROBE, /* now= */ 3_000);
        for (UpstreamHealth health : List.of(ejected, probed)) {
            assertFalse(health.isEjected(/* now= */ 13_000));
            assertFalse(health.isAvoidedByLastAttempts(/* now= */ 13_000));
        }
    }
}
