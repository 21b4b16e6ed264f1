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

/** Tests properties of placements in random scenarios. */
class FairSchedulerPropertiesTest {
    private static final int KINDS = 3;

    /**
     * Submits 100 random submissions at intervals of 60 ms and runs the simulation to 120 s.
     *
     * @param seed the seed of all random choices
     * @param withRemovals whether the waiting tasks of some submissions are removed
     */
    private static SchedulerSimulation runRandomScenario(long seed, boolean withRemovals) {
        RandomGenerator random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        SchedulerSimulation simulation = new SchedulerSimulation();
        for (int kind = 0; kind < KINDS; kind++) {
            Limits limits = new Limits(/* running= */ 2 + random.nextInt(6), Limits.UNLIMITED, Limits.UNLIMITED);
            simulation.kind("k" + kind, /* weight= */ 1 + kind, Urgency.values()[random.nextInt(3)], limits);
        }
        for (int backend = 0; backend < 3; backend++) {
            simulation.backend("b" + backend, /* slots= */ 1 + random.nextInt(4), /* window= */ 8);
        }
        simulation.serviceTime(name -> Duration.ofMillis(20 + random.nextInt(200)));
        for (int step = 1; step <= 100; step++) {
            Submission submission = simulation.submission(
                    "t" + random.nextInt(3),
                    "k" + random.nextInt(KINDS),
                    /* key= */ "" + step,
                    /* tasks= */ 1 + random.nextInt(8));
            simulation.submit(submission);
            simulation.runUntil(Duration.ofMillis(step * 60L));
            if (withRemovals && random.nextInt(5) == 0) {
                simulation.scheduler().removeWaitingTasks(submission.id());
            }
        }
        return simulation.runUntil(Duration.ofSeconds(120));
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15})
    void eachTaskIsPlacedAtMostOnce(long seed) {
        SchedulerSimulation simulation = runRandomScenario(seed, /* withRemovals= */ true);
        Set<Object> placedTasks = new HashSet<>();
        simulation
                .history()
                .forEach(run -> assertTrue(placedTasks.add(run.placement().task())));
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15})
    void everyTaskIsEventuallyPlaced(long seed) {
        SchedulerSimulation simulation = runRandomScenario(seed, false);
        // Each back end serves all kinds.
        assertEquals(0, simulation.scheduler().countStartableTasks(SchedulerSimulation.sidecar("b0")));
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15})
    void sameEventsGiveSamePlacements(long seed) {
        assertEquals(
                runRandomScenario(seed, true).history(),
                runRandomScenario(seed, true).history());
    }
}
