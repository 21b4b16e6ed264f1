package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests runs that are still active when another entry adopts their job; all times are virtual and in milliseconds. */
class TakeOverTest {
    private static final int TASKS = 6;

    /** Guards against a second run of a task whose first run, by a lost owner, is still active. */
    @ParameterizedTest
    @CsvSource({"2, 4000", "2, 6000", "2, 12000", "3, 6000"})
    void runsOfALostOwnerContinueAtTheAdopter(int entries, long taskMilliseconds) {
        SimulatedFleet fleet = new SimulatedFleet(entries, 2, task -> taskMilliseconds);
        fleet.submit(0, "job", SampleJobs.plan(TASKS, /* durable= */ true, taskMilliseconds));
        fleet.time().runUntil(fleet.time().now() + 500);
        fleet.kill("entry-0");
        fleet.time().runUntil(fleet.time().now() + 3 * taskMilliseconds + 10_000);

        assertEquals(List.of(), fleet.recordOfStarts().violations());
        assertEquals(TASKS, fleet.recordOfStarts().startCount());
        assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(1, "job"));
    }
}
