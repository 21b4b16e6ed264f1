package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.owner.CallerAnswers;
import io.caperturn.jobs.record.JobWriter;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests jobs that the store inserts late, after the entry (process that accepts jobs) that submitted them was killed
 * and after the scans for its jobs. All times are virtual and in milliseconds.
 */
class LateInsertTest {
    private static final int SIDECARS = 3;
    /** One for each part of the table: the first write of each is under way when the entry is killed. */
    private static final int JOBS = JobWriter.PARTS;

    private static final int TASKS = 2;
    private static final long TASK_MILLISECONDS = 200;

    /** Guards against a job without an owner that is accepted from its caller at another entry and never runs. */
    @ParameterizedTest
    @CsvSource({"2, 2500", "2, 5000", "3, 5000", "3, 12000"})
    void jobInsertedLateRunsOnceItIsAcceptedAgain(int entries, long latenessMilliseconds) {
        SimulatedFleet fleet = fleetWithJobsInsertedLate(entries, latenessMilliseconds);
        List<List<CallerAnswers.Submission>> answers = new ArrayList<>();
        for (int number = 0; number < JOBS; number++) {
            answers.add(submit(fleet, 1 + number % (entries - 1), number));
        }
        fleet.time().runUntil(fleet.time().now() + 3_000);

        for (List<CallerAnswers.Submission> answer : answers) {
            assertEquals(1, answer.size());
            assertTrue(
                    answer.getFirst() instanceof CallerAnswers.Submission.Accepted accepted
                            && accepted.alreadySubmitted(),
                    answer::toString);
        }
        assertAllCompleted(fleet);
    }

    /** Guards against a job without an owner that no event makes known: nothing is lost or restarted any more. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3, 5})
    void jobInsertedLateIsFoundWithoutAnEvent(int entries) {
        SimulatedFleet fleet = fleetWithJobsInsertedLate(entries, /* latenessMilliseconds= */ 5_000);
        fleet.time().runUntil(fleet.time().now() + 9_000);

        assertAllCompleted(fleet);
    }

    /** Guards against a job that is shown to its caller as queued although no entry will run it. */
    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void jobInsertedLateRunsOnceItIsShown(int entries) {
        SimulatedFleet fleet = fleetWithJobsInsertedLate(entries, /* latenessMilliseconds= */ 5_000);
        assertInstanceOf(CallerAnswers.Lookup.Found.class, fleet.lookUp(1, "job-0"));
        fleet.time().runUntil(fleet.time().now() + 500);

        assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(1, "job-0"), fleet::logLines);
    }

    /**
     * The scans that find such jobs read each part of the table of open jobs once in five seconds, however many entries
     * there are.
     */
    @ParameterizedTest
    @ValueSource(ints = {1, 4, 15})
    void readsWithoutAnEventDoNotGrowWithTheNumberOfEntries(int entries) {
        SimulatedFleet fleet = new SimulatedFleet(entries, SIDECARS, task -> TASK_MILLISECONDS);
        fleet.time().runUntil(10_000);
        int before = fleet.store().callCount("read");
        fleet.time().runUntil(70_000);

        int reads = fleet.store().callCount("read") - before;
        assertTrue(reads > 0 && reads <= JobWriter.PARTS * (60_000 / 5_000 + 1), () -> reads + " reads in a minute");
    }

    /** Returns a fleet whose jobs were inserted a moment ago, late; their owner was lost meanwhile and is back. */
    private static SimulatedFleet fleetWithJobsInsertedLate(int entries, long latenessMilliseconds) {
        SimulatedFleet fleet = new SimulatedFleet(entries, SIDECARS, task -> TASK_MILLISECONDS);
        fleet.store().setFault(MemoryStore.Fault.LATE);
        fleet.store().setLateness(latenessMilliseconds);
        for (int number = 0; number < JOBS; number++) {
            submit(fleet, 0, number);
        }
        fleet.time().runUntil(fleet.time().now() + 100);
        fleet.kill("entry-0");
        fleet.store().setFault(MemoryStore.Fault.NONE);
        fleet.time().after(500, () -> fleet.restart("entry-0"));
        fleet.time().runUntil(fleet.time().now() + latenessMilliseconds + 200);
        assertEquals(JOBS, fleet.store().rowCount(/* unfinished jobs */ "caperturn-open"));
        return fleet;
    }

    private static List<CallerAnswers.Submission> submit(SimulatedFleet fleet, int entry, int number) {
        return fleet.submit(entry, "job-" + number, SampleJobs.plan(TASKS, /* durable= */ true, TASK_MILLISECONDS));
    }

    private static void assertAllCompleted(SimulatedFleet fleet) {
        for (int number = 0; number < JOBS; number++) {
            assertEquals(
                    new CallerAnswers.Lookup.Found(JobState.COMPLETED),
                    fleet.lookUp(1, "job-" + number),
                    fleet::logLines);
        }
        assertEquals(List.of(), fleet.recordOfStarts().violations(), fleet::logLines);
        assertEquals(JOBS * TASKS, fleet.recordOfStarts().startCount());
    }
}
