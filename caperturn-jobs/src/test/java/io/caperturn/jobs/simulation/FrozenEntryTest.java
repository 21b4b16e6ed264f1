package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests that no task of a transient job runs twice at the same time if its caller leaves an entry (process that accepts
 * jobs) while that is frozen: the entry then reads frames of sidecars before it learns that the caller has gone.
 */
class FrozenEntryTest {
    private static final int ENTRIES = 2;
    private static final int SIDECARS = 2;
    private static final int JOBS = 16;

    private static final int SEEDS = Integer.getInteger("caperturn.seeds", 20);

    /**
     * More tasks are submitted than run at once, so that some wait at the entry and at the sidecars. With the shorter
     * deadline, requests arrive while the entry is frozen whose callers no longer wait when it reads them. The entry
     * reads that a caller has gone right after the frames, or in its next pass.
     */
    @ParameterizedTest
    @CsvSource({"6000, 0", "6000, 1", "400, 0", "400, 1"})
    void entryStartsNoTaskOfACallerThatLeftWhileItWasFrozen(long deadlineMilliseconds, long readLaterMilliseconds) {
        int resubmissions = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            resubmissions += runAroundAFreeze(seed, deadlineMilliseconds, readLaterMilliseconds);
        }
        assertTrue(resubmissions > SEEDS, "too few jobs were submitted again: " + resubmissions);
    }

    /** Asserts that no task runs twice at the same time; returns how many jobs were submitted again. */
    private static int runAroundAFreeze(long seed, long deadlineMilliseconds, long readLaterMilliseconds) {
        Random random = new Random(seed);
        SimulatedFleet fleet =
                new SimulatedFleet(ENTRIES, SIDECARS, task -> 300 + Math.floorMod(task.hashCode(), 1_700));
        ResubmittingCallers callers = new ResubmittingCallers(fleet, ENTRIES, deadlineMilliseconds, random);
        fleet.time().after(300 + random.nextInt(700), () -> {
            VirtualLoop frozen = fleet.loop("entry-0");
            frozen.delayLastActions(readLaterMilliseconds);
            frozen.freeze();
            fleet.time().after(100 + random.nextInt(300), () -> callers.breakConnections(0));
            fleet.time().after(1_400 + random.nextInt(1_000), () -> frozen.resume(/* clockStoodStill= */ false));
        });
        for (int number = 0; number < JOBS; number++) {
            callers.submit(random.nextInt(ENTRIES), "job-" + number, SampleJobs.plan(2, false, 1_000));
            fleet.time().runUntil(fleet.time().now() + random.nextInt(150));
        }
        fleet.time().runUntil(fleet.time().now() + 15_000);
        assertEquals(List.of(), fleet.recordOfStarts().overlaps(), "seed " + seed);
        return callers.resubmissions();
    }
}
