package io.caperturn.jobs.owner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.UpstreamCrash;
import io.caperturn.jobs.simulation.VirtualLoop;
import io.caperturn.jobs.simulation.VirtualTime;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which queues are taken for the cause of crashes, by the chances in thousandths that sidecars tell. */
class CrashEvidenceTest {
    private static final String SERVICE = "service";

    private final VirtualTime time = new VirtualTime();
    private final CrashEvidence evidence = new CrashEvidence(new VirtualLoop(time, "entry"));
    private int crashes;

    private void crash(Map<String, Integer> startChancePermille) {
        evidence.record("sidecar-" + ++crashes, SERVICE, List.of(new UpstreamCrash(1, 0, startChancePermille)));
    }

    private void advance(long milliseconds) {
        time.runUntil(time.now() + milliseconds);
    }

    @ParameterizedTest
    @CsvSource({"60, 2", "150, 3"})
    void queueWhoseRunsHaveJustStartedAtEachCrashIsSuspected(int chance, int crashesUntilSuspected) {
        for (int number = 1; number <= crashesUntilSuspected; number++) {
            assertEquals(Set.of(), evidence.suspectedQueues(SERVICE));
            crash(Map.of("young", chance, "other", 400 + 100 * number % 600));
            advance(300);
        }
        assertEquals(Set.of("young"), evidence.suspectedQueues(SERVICE));
    }

    /** Guards against confining a queue because several instances are lost at once. */
    @Test
    void crashesAtTheSameMomentCountAsOne() {
        for (int number = 0; number < 6; number++) {
            crash(Map.of("queue", 20));
        }
        assertEquals(Set.of(), evidence.suspectedQueues(SERVICE));
        assertTrue(!evidence.hasSeveralCrashes());
    }

    @Test
    void crashWithoutARunOfTheQueueSpeaksAgainstIt() {
        crash(Map.of("queue", 60));
        advance(300);
        crash(Map.of("other", 500));
        assertEquals(Set.of(), evidence.suspectedQueues(SERVICE));
    }

    @Test
    void evidenceEndsWithTheAgeOfTheCrashes() {
        crash(Map.of("queue", 1));
        advance(300);
        crash(Map.of("queue", 1));
        assertEquals(Set.of("queue"), evidence.suspectedQueues(SERVICE));
        advance(10_100);
        assertTrue(evidence.forgetOld());
        assertEquals(Set.of(), evidence.suspectedQueues(SERVICE));
    }

    @Test
    void crashThatIsToldAgainCountsOnce() {
        UpstreamCrash first = new UpstreamCrash(1, 0, Map.of("queue", 1));
        assertTrue(evidence.record("sidecar", SERVICE, List.of(first)));
        advance(300);
        assertTrue(!evidence.record("sidecar", SERVICE, List.of(new UpstreamCrash(1, 300, Map.of("queue", 1)))));
        assertTrue(!evidence.hasSeveralCrashes());
    }

    /** Guards against a queue that stays confined for crashes which were only cuts between sidecar and upstream. */
    @Test
    void crashThatIsToldNoMoreIsNoEvidence() {
        crash(Map.of("queue", 1));
        advance(300);
        crash(Map.of("queue", 1));
        assertTrue(evidence.record("sidecar-2", SERVICE, List.of()));
        assertEquals(Set.of(), evidence.suspectedQueues(SERVICE));
        assertTrue(!evidence.hasSeveralCrashes());
    }

    /** Guards against innocent tasks that wait for runs of their own because they ran beside a crashing queue. */
    @Test
    void crashBesideASuspectedQueueIsExplainedForOthersOnly() {
        crash(Map.of("young", 10, "other", 500));
        advance(300);
        crash(Map.of("young", 10, "other", 700));
        advance(300);
        crash(Map.of("other", 900));
        assertTrue(evidence.isExplainedByOtherQueue("sidecar-1", SERVICE, "other"));
        assertTrue(!evidence.isExplainedByOtherQueue("sidecar-1", SERVICE, "young"));
        assertTrue(!evidence.isExplainedByOtherQueue("sidecar-3", SERVICE, "other"));
        assertTrue(!evidence.isExplainedByOtherQueue("sidecar-4", SERVICE, "other"));
    }

    @Test
    void onlyTheQueueThatFitsBestIsSuspectedOnWeakEvidence() {
        crash(Map.of("best", 100, "next", 130));
        advance(300);
        crash(Map.of("best", 100, "next", 130));
        assertEquals(Set.of("best"), evidence.suspectedQueues(SERVICE));
    }

    /** The share of storms in which a queue without a part in them is suspected stays near the chosen chance. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 5, 8})
    void queuesWithoutAPartInTheCrashesAreSeldomSuspected(int crashesInAStorm) {
        Random random = new Random(crashesInAStorm);
        int storms = 2_000;
        int suspected = 0;
        for (int storm = 0; storm < storms; storm++) {
            for (int number = 0; number < crashesInAStorm; number++) {
                crash(Map.of("innocent", 1 + random.nextInt(1_000)));
                advance(100);
            }
            suspected += evidence.suspectedQueues(SERVICE).size();
            advance(10_100);
            evidence.forgetOld();
        }
        double share = (double) suspected / storms;
        assertTrue(share < 0.12, () -> share + " of the storms");
    }
}
