package io.caperturn.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.core.model.Limits;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class FairSchedulerPropertiesTest {
    private static final int KINDS = 3;

    private static SchedulerBench randomSession(long seed, boolean withRemovals) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        SchedulerBench bench = new SchedulerBench();
        for (int kind = 0; kind < KINDS; kind++) {
            Limits limits = new Limits(2 + random.nextInt(6), Limits.UNLIMITED, Limits.UNLIMITED);
            bench.kind("k" + kind, 1 + kind, Urgency.values()[random.nextInt(3)], limits);
        }
        for (int backend = 0; backend < 3; backend++) {
            bench.backend("b" + backend, 1 + random.nextInt(4), 8);
        }
        bench.service(name -> Duration.ofMillis(20 + random.nextInt(200)));
        for (int step = 1; step <= 100; step++) {
            Submission submission = bench.submission(
                    "t" + random.nextInt(3), "k" + random.nextInt(KINDS), "" + step, 1 + random.nextInt(8));
            bench.submit(submission);
            bench.runUntil(Duration.ofMillis(step * 60L));
            if (withRemovals && random.nextInt(5) == 0) {
                bench.scheduler().removeWaitingTasks(submission.id());
            }
        }
        return bench.runUntil(Duration.ofSeconds(120));
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15})
    void eachTaskIsPlacedAtMostOnce(long seed) {
        SchedulerBench bench = randomSession(seed, true);
        Set<Object> seen = new HashSet<>();
        bench.history().forEach(run -> assertTrue(seen.add(run.placement().task())));
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15})
    void everyTaskIsPlacedInTheEnd(long seed) {
        SchedulerBench bench = randomSession(seed, false);
        assertEquals(0, bench.scheduler().countStartableTasks(SchedulerBench.sidecar("b0")));
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15})
    void sameEventsGiveSamePlacements(long seed) {
        assertEquals(
                randomSession(seed, true).history(), randomSession(seed, true).history());
    }
}
