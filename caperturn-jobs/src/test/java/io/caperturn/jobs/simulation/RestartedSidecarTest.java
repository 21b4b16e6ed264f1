package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests that runs of living entries go on at a sidecar that is restarted within the lease of its upstream. */
class RestartedSidecarTest {
    private static final int ENTRIES = 3;
    private static final int TASKS = 2;
    private static final int SEEDS = 10;
    private static final long TASK_MILLISECONDS = 14_000;

    /** Times in milliseconds; the runs of an entry that is lost at the same time are not claimed. */
    @ParameterizedTest
    @CsvSource({"100, true", "300, true", "500, true", "100, false", "300, false", "500, false", "600, false"})
    void runsOfLivingEntriesGoOnAtARestartedSidecar(long downtimeMilliseconds, boolean entryLost) {
        int kept = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimulatedFleet fleet = new SimulatedFleet(ENTRIES, /* sidecars= */ 1, task -> TASK_MILLISECONDS);
            for (int entry = 0; entry < ENTRIES; entry++) {
                fleet.submit(entry, "job-" + entry, SampleJobs.plan(TASKS, /* durable= */ false, TASK_MILLISECONDS));
                fleet.time().runUntil(fleet.time().now() + 100);
            }
            fleet.time().runUntil(fleet.time().now() + 500 + 25 * seed);
            if (entryLost) {
                fleet.kill("entry-0");
            }
            fleet.kill("sidecar-0");
            fleet.time().after(downtimeMilliseconds, () -> fleet.restart("sidecar-0"));
            fleet.time().runUntil(fleet.time().now() + 2_200);
            // The number of a first run ends with 1.
            kept += (int) fleet.upstream(0).activeRuns().stream()
                    .filter(run -> !run.task().job().equals("job-0") && run.number() % 1_000 == 1)
                    .count();
        }
        assertEquals(SEEDS * TASKS * (ENTRIES - 1), kept);
    }
}
