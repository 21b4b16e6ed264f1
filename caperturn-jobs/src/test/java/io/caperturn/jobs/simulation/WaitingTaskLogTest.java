package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.StepPlan;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the log of tasks that wait for long; all times are virtual and in milliseconds. */
class WaitingTaskLogTest {
    private static final Resources NEED = new Resources(1_600, 64, 0);

    private final SimulatedFleet fleet = new SimulatedFleet(1, 3, task -> 200);

    private List<String> linesAfter(long milliseconds) {
        fleet.time().runUntil(fleet.time().now() + milliseconds);
        return fleet.loop("entry-0").logLines().stream()
                .filter(line -> line.contains(" tasks-waiting "))
                .toList();
    }

    /** Guards against logs that do not tell why accepted tasks do not start. */
    @Test
    void logTellsOnceASecondWhatWaitingTasksAskForAndWhyNoSidecarIsAPlace() {
        fleet.upstream(2).setDescription("service", List.of("special", "rack"));
        assertEquals(List.of(), linesAfter(1_000));
        List<StepPlan> steps = List.of(
                new StepPlan(1, NEED, 200, List.of(), "", "", 0),
                new StepPlan(8, NEED, 200, List.of(0), "special", "", 0));
        fleet.submit(0, "job", new JobPlan("queue", "payload", steps, /* durable= */ true));
        fleet.time().after(100, () -> fleet.upstream(2).crash(/* downtimeMilliseconds= */ 120_000));

        List<String> lines = linesAfter(4_000);
        assertTrue(lines.size() >= 2 && lines.size() <= 4, lines::toString);
        String last = lines.getLast();
        assertTrue(last.contains("queue queue label special exclusive false lastAttempt false tasks 8 job job "), last);
        assertTrue(last.contains("sidecars {LABEL_MISSING=2, UNUSABLE=1}"), last);
    }
}
