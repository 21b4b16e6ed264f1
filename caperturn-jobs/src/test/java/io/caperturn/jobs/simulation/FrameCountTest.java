package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.record.JobWriter;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests that the number of frames for each task does not grow with the number of entry processes: with each frame that
 * every entry receives for every task, the cost of the whole fleet grows with the product of entries and sidecars.
 */
class FrameCountTest {
    /** Maximum number of frames of all types for each task, at any size of the fleet. */
    private static final double MAX_FRAMES_PER_TASK = 8;
    /** Maximum number of reports of starts for each run: one for each job, the smallest of which has two tasks. */
    private static final double MAX_START_REPORTS_PER_RUN = 0.5;
    /** Minimum value earned, as a fraction of the possible value: the target of the users at their usual load. */
    private static final double MIN_EARNED_FRACTION = 0.9;
    /** Arrival rate for each upstream at which about three quarters of the capacity are used. */
    private static final double USUAL_LOAD_PER_UPSTREAM = 0.31;

    private static final int ARRIVAL_SECONDS = 3;
    private static final int STORED_JOBS = 500;
    /** Writes for each stored job: its insert, and its end. */
    private static final int WRITES_PER_STORED_JOB = 2;

    private static final double[] SPEEDS = {0.55, 1.2, 1.2, 1.2};

    @ParameterizedTest
    @CsvSource({"4, 11, 1", "8, 40, 2", "15, 80, 3"})
    void framesForEachTaskDoNotGrowWithTheNumberOfEntries(int entries, int sidecars, long seed) {
        double[] speeds = IntStream.range(0, sidecars)
                .mapToDouble(number -> SPEEDS[number % SPEEDS.length])
                .toArray();
        MixedLoad mixed = new MixedLoad(entries, speeds);
        Map<String, Integer> before = mixed.fleet().traffic().frameCounts();
        mixed.submitAll(USUAL_LOAD_PER_UPSTREAM * sidecars, seed, ARRIVAL_SECONDS);
        Map<String, Integer> counts = mixed.fleet().traffic().frameCounts();
        int tasks = mixed.fleet().recordOfStarts().succeededTaskCount();
        mixed.awaitCompletion();

        before.forEach((type, count) -> counts.merge(type, -count, Integer::sum));
        int frames = counts.values().stream().mapToInt(Integer::intValue).sum();
        double framesPerTask = (double) frames / tasks;
        double startReports = counts.get("Report") - counts.get("Dispatch");
        double earned = mixed.earnedFraction(kind -> true);
        assertTrue(framesPerTask <= MAX_FRAMES_PER_TASK, () -> framesPerTask + " frames for each task: " + counts);
        assertTrue(
                startReports <= MAX_START_REPORTS_PER_RUN * counts.get("Dispatch"),
                () -> startReports + " reports of starts: " + counts);
        assertTrue(earned >= MIN_EARNED_FRACTION, () -> earned + " of the possible value");
        assertEquals(List.of(), mixed.fleet().recordOfStarts().violations());
    }

    /**
     * An entry knows the room at a sidecar that runs only its own tasks by what it has sent and by the reports: all
     * statuses are periodic, and request a renewal of its lease.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 10})
    void onlyOwnerOfRunsIsSentPeriodicStatusesOnly(int tasks) {
        SimulatedFleet fleet = new SimulatedFleet(1, 1, task -> 150);
        Map<String, Integer> before = fleet.traffic().frameCounts();
        for (int number = 0; number < 20; number++) {
            fleet.submit(0, "job-" + number, SampleJobs.plan(tasks, /* durable= */ false));
            fleet.time().runUntil(fleet.time().now() + 200);
        }
        fleet.time().runUntil(fleet.time().now() + 200);
        Map<String, Integer> counts = fleet.traffic().frameCounts();
        before.forEach((type, count) -> counts.merge(type, -count, Integer::sum));
        assertEquals(20 * tasks, fleet.recordOfStarts().succeededTaskCount());
        assertEquals(counts.get("Lease"), counts.get("Status"), () -> "frames: " + counts);
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /**
     * A stored job is written when it is accepted and when it ends; what is read besides, to find jobs without an
     * owner, grows with the time only.
     */
    @ParameterizedTest
    @CsvSource({"4, 11", "8, 40", "15, 80"})
    void callsToTheStoreForEachStoredJobDoNotGrowWithTheNumberOfEntries(int entries, int sidecars) {
        SimulatedFleet fleet = new SimulatedFleet(entries, sidecars, task -> 300);
        fleet.time().runUntil(8_000); // The scans after the start of processes are over.
        int writesBefore = fleet.store().callCount("write");
        int readsBefore = fleet.store().callCount("read");
        for (int number = 0; number < STORED_JOBS; number++) {
            fleet.submit(number % entries, "job-" + number, SampleJobs.plan(2, /* durable= */ true));
            fleet.time().runUntil(fleet.time().now() + 50);
        }
        fleet.time().runUntil(38_000);

        assertEquals(2 * STORED_JOBS, fleet.recordOfStarts().succeededTaskCount());
        int writes = fleet.store().callCount("write") - writesBefore;
        assertTrue(writes <= WRITES_PER_STORED_JOB * STORED_JOBS, () -> writes + " writes");
        int reads = fleet.store().callCount("read") - readsBefore;
        assertTrue(reads <= JobWriter.PARTS * (30_000 / 5_000 + 1), () -> reads + " reads in 30 s");
    }
}
