package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a job is known to have started by the report on a single run, also after that report was lost. */
class StartReportTest {
    private static final long TASK_MILLISECONDS = 1_000;
    /** Time within which a dispatched run has started and its start was reported. */
    private static final long START_MILLISECONDS = 50;

    @ParameterizedTest
    @ValueSource(ints = {1, 4, 8})
    void onlyOneStartOfEachJobIsReported(int tasks) {
        SimulatedFleet fleet = new SimulatedFleet(1, 2, task -> TASK_MILLISECONDS);
        Map<String, Integer> before = fleet.traffic().frameCounts();
        fleet.submit(0, "job", SampleJobs.plan(tasks, /* durable= */ true));
        fleet.time().runUntil(fleet.time().now() + START_MILLISECONDS);
        assertEquals(new CallerAnswers.Lookup.Found(JobState.RUNNING), fleet.lookUp(0, "job"));
        fleet.time().runUntil(fleet.time().now() + 2 * TASK_MILLISECONDS);

        assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(0, "job"));
        int reports = fleet.traffic().frameCounts().get("Report") - before.getOrDefault("Report", 0);
        assertEquals(1 + tasks, reports, "one start, and the end of each run");
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }

    /** The links close while the order to start the first run is on its way. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void startIsKnownAfterTheLinkWasLost(long millisecondsUntilLoss) {
        SimulatedFleet fleet = new SimulatedFleet(1, 2, task -> TASK_MILLISECONDS);
        fleet.submit(0, "job", SampleJobs.plan(4, /* durable= */ true));
        fleet.time().runUntil(fleet.time().now() + millisecondsUntilLoss);
        fleet.closeLinksBriefly("sidecar-0");
        fleet.closeLinksBriefly("sidecar-1");
        fleet.time().runUntil(fleet.time().now() + 2 * START_MILLISECONDS);

        assertEquals(new CallerAnswers.Lookup.Found(JobState.RUNNING), fleet.lookUp(0, "job"));
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }
}
