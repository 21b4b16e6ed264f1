package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a task which one sidecar refuses, because another run of it is active there, runs at another one. */
class RefusedElsewhereTest {
    private static final long TASK_MILLISECONDS = 200;
    /** Number of the earlier run of each task, which takes as long as the task at the other sidecar. */
    private static final int EARLIER_RUN = 77;

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 4})
    void taskWithAnotherRunAtOneSidecarRunsElsewhere(int tasks) {
        SimulatedFleet fleet = new SimulatedFleet(1, 2, task -> task.job().equals("job") ? TASK_MILLISECONDS : 10_000);
        fleet.submit(0, "long", SampleJobs.plan(10, /* durable= */ false, 10_000));
        fleet.time().runUntil(fleet.time().now() + 50);
        for (int index = 0; index < tasks; index++) {
            dispatchEarlierRun(fleet, index);
        }
        List<CallerAnswers.Submission> answers =
                fleet.submit(0, "job", SampleJobs.plan(tasks, /* durable= */ false, TASK_MILLISECONDS));
        fleet.time().runUntil(fleet.time().now() + TASK_MILLISECONDS / 2);

        long refused = fleet.loop("sidecar-0").logLines().stream()
                .filter(line -> line.contains("other-run"))
                .count();
        assertTrue(refused > 0 && refused <= 5L * tasks, () -> refused + " refusals");
        fleet.time().runUntil(fleet.time().now() + TASK_MILLISECONDS);
        assertEquals(List.of(new CallerAnswers.Submission.Finished(JobState.COMPLETED)), answers);
    }

    private static void dispatchEarlierRun(SimulatedFleet fleet, int index) {
        RunIdentity run = new RunIdentity(new TaskIdentity("job", 0, 0, index), EARLIER_RUN);
        Resources need = new Resources(1, 1, 0);
        JobFrame.Dispatch dispatch =
                new JobFrame.Dispatch(0, run, "payload", need, 10_000, 5_000, 0, false, true, "queue", false, 1);
        fleet.loop("sidecar-0").run(() -> fleet.sidecar(0).handleFrame("entry-0~1", dispatch));
    }
}
