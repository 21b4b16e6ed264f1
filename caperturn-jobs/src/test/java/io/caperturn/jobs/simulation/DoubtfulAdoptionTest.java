package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests stored jobs whose adoption is in doubt: an entry has written itself as the next owner, and the store has not
 * answered. All times are virtual and in milliseconds.
 */
class DoubtfulAdoptionTest {
    private static final int JOBS = 8;
    private static final int TASKS = 2;
    private static final long SHORT_TASK_MILLISECONDS = 6_000;
    private static final long LONG_TASK_MILLISECONDS = 15_000;

    /** Returns faults of the store with the times after which a process joins and the fault ends. */
    static List<Arguments> doubts() {
        List<Arguments> doubts = new ArrayList<>();
        for (MemoryStore.Fault fault : List.of(MemoryStore.Fault.ANSWERS_LOST, MemoryStore.Fault.LATE)) {
            for (long restartMilliseconds = 0; restartMilliseconds <= 4_000; restartMilliseconds += 500) {
                for (long faultMilliseconds = 3_000; faultMilliseconds <= 9_000; faultMilliseconds += 1_500) {
                    doubts.add(Arguments.of(fault, restartMilliseconds, faultMilliseconds));
                }
            }
        }
        return doubts;
    }

    /**
     * Guards against a second adoption of a job by the entry whose first one is in doubt: the next scan, after a
     * process has joined, finds the job with this entry as its owner. Guards also against an exception in an entry that
     * has been declared lost when its adoption is answered, which is so with late writes for 6,000 ms.
     */
    @ParameterizedTest
    @MethodSource("doubts")
    void adoptionInDoubtIsNotBegunAgainAndNoTaskRunsTwice(
            MemoryStore.Fault fault, long restartMilliseconds, long faultMilliseconds) {
        SimulatedFleet fleet =
                new SimulatedFleet(3, 6, task -> task.index() == 0 ? SHORT_TASK_MILLISECONDS : LONG_TASK_MILLISECONDS);
        for (int number = 0; number < JOBS; number++) {
            fleet.submit(
                    number % 2, "job-" + number, SampleJobs.plan(TASKS, /* durable= */ true, LONG_TASK_MILLISECONDS));
        }
        fleet.time().runUntil(fleet.time().now() + 700);
        assertEquals(JOBS * TASKS, fleet.recordOfStarts().startCount());
        fleet.store().setFault(fault);
        fleet.time().after(faultMilliseconds, () -> fleet.store().setFault(MemoryStore.Fault.NONE));
        fleet.kill("entry-0");
        fleet.kill("entry-1");
        fleet.time().after(100, () -> fleet.restart("entry-0"));
        fleet.time().after(100 + restartMilliseconds, () -> fleet.restart("entry-1"));
        fleet.time().runUntil(fleet.time().now() + 60_000);

        assertEquals(List.of(), fleet.recordOfStarts().violations(), fleet::logLines);
        assertEquals(List.of(), linesWith(fleet, " job-lost "), fleet::logLines);
        for (int number = 0; number < JOBS; number++) {
            assertEquals(
                    new CallerAnswers.Lookup.Found(JobState.COMPLETED),
                    fleet.lookUp(2, "job-" + number),
                    fleet::logLines);
        }
    }

    private static List<String> linesWith(SimulatedFleet fleet, String part) {
        return fleet.logLines().lines().filter(line -> line.contains(part)).toList();
    }
}
