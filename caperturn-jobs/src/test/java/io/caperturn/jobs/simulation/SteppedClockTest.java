package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobPlan;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests transient jobs that are submitted again at an entry whose wall clock differs, from which the numbers of their
 * runs come: no task runs twice at the same time, and as many are done in the end as without the difference.
 */
class SteppedClockTest {
    private static final int SEEDS = Integer.getInteger("caperturn.seeds", 20);
    private static final int ENTRIES = 2;
    private static final int SIDECARS = 3;
    private static final int JOBS = 12;
    private static final int TASKS = 2;

    private int resubmissions;

    @ParameterizedTest
    @ValueSource(longs = {-10_000, -2_400, -1_300, 1_300, 2_400, 10_000})
    void jobsAreDoneOnceIfTheClockOfAnEntryIsStepped(long milliseconds) {
        int done = 0;
        int doneWithoutStep = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            done += runAroundAStep(seed, milliseconds);
            doneWithoutStep += runAroundAStep(seed, /* milliseconds= */ 0);
        }
        assertTrue(resubmissions > SEEDS, "too few jobs were submitted again: " + resubmissions);
        assertTrue(done >= 0.99 * doneWithoutStep, done + " tasks are done, without a step " + doneWithoutStep);
    }

    /** Checks that no task runs twice at the same time; returns how many tasks were done. */
    private int runAroundAStep(long seed, long milliseconds) {
        Random random = new Random(seed);
        SimulatedFleet fleet =
                new SimulatedFleet(ENTRIES, SIDECARS, task -> 300 + Math.floorMod(task.hashCode(), 2_000));
        ResubmittingCallers callers =
                new ResubmittingCallers(fleet, ENTRIES, /* deadlineMilliseconds= */ 6_000, random);
        int stepped = random.nextInt(ENTRIES);
        fleet.time()
                .after(
                        random.nextInt(3_000),
                        () -> fleet.loop("entry-" + stepped).stepWallClock(milliseconds));
        for (int number = 0; number < 3; number++) {
            int entry = random.nextInt(ENTRIES);
            fleet.time().after(500 + random.nextInt(4_000), () -> {
                callers.breakConnections(entry);
                fleet.closeLinksBriefly("entry-" + entry);
            });
        }
        JobPlan plan = SampleJobs.plan(TASKS, /* durable= */ false, 1_000);
        for (int number = 0; number < JOBS; number++) {
            callers.submit(random.nextInt(ENTRIES), "job-" + number, plan);
            fleet.time().runUntil(fleet.time().now() + random.nextInt(150));
        }
        fleet.time().runUntil(fleet.time().now() + 30_000);
        assertEquals(List.of(), fleet.recordOfStarts().overlaps(), "seed " + seed);
        resubmissions += callers.resubmissions();
        return fleet.recordOfStarts().succeededTaskCount();
    }
}
