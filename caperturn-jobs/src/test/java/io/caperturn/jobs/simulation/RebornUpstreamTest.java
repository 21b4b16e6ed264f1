package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests upstreams that come back after a crash as another kind, which their sidecars notice before the first heartbeat.
 * All times are virtual and in milliseconds.
 */
class RebornUpstreamTest {
    private static final long TASK_MILLISECONDS = 600;
    private static final int JOBS = 40;

    private static JobPlan planWithLabel(String label) {
        return new JobPlan(
                "queue",
                "payload",
                List.of(new StepPlan(6, new Resources(1_600, 64, 0), TASK_MILLISECONDS, List.of(), label, "", 0)),
                /* durable= */ true);
    }

    /** Guards against tasks that start on a reborn upstream without the label that they require. */
    @ParameterizedTest
    @CsvSource({"300, 1", "700, 1", "700, 3", "3200, 2"})
    void noTaskStartsWithoutItsLabel(long downtimeMilliseconds, int entries) {
        SimulatedFleet fleet = new SimulatedFleet(entries, /* sidecars= */ 4, task -> TASK_MILLISECONDS);
        List<String> wrongStarts = new ArrayList<>();
        fleet.recordOfStarts().setObserver((run, name) -> {
            for (int number = 0; number < 4; number++) {
                SimulatedUpstream upstream = fleet.upstream(number);
                if (upstream.identity().equals(name)
                        && !upstream.description().labels().contains("a")) {
                    wrongStarts.add(run + " at " + name + " at " + fleet.time().now());
                }
            }
        });
        for (int number = 0; number < JOBS; number++) {
            fleet.submit(number % entries, "job-" + number, planWithLabel("a"));
            if (number == JOBS / 4) {
                fleet.upstream(0).crash(downtimeMilliseconds);
                fleet.upstream(0).setDescription("service", List.of("b"));
            }
            fleet.time().runUntil(fleet.time().now() + 80);
        }
        fleet.time().runUntil(fleet.time().now() + 20_000);

        assertEquals(List.of(), wrongStarts, fleet::logLines);
        assertEquals(List.of(), fleet.recordOfStarts().violations());
        for (int number = 0; number < JOBS; number++) {
            assertEquals(new CallerAnswers.Lookup.Found(JobState.COMPLETED), fleet.lookUp(0, "job-" + number));
        }
    }

    /** Guards against a job that is rejected because the only upstream for it has not told yet what it is. */
    @ParameterizedTest
    @ValueSource(ints = {1, 3})
    void jobIsAcceptedWhileItsOnlyUpstreamHasNotDescribedItself(int entries) {
        SimulatedFleet fleet = new SimulatedFleet(entries, /* sidecars= */ 2, task -> TASK_MILLISECONDS);
        fleet.upstream(0).setDescription("service", List.of("only"));
        fleet.time().runUntil(fleet.time().now() + 1_100);
        fleet.upstream(0).crash(300);
        List<List<CallerAnswers.Submission>> answers = new ArrayList<>();
        for (int number = 0; number < 20; number++) {
            answers.add(fleet.submit(number % entries, "job-" + number, planWithLabel("only")));
            fleet.time().runUntil(fleet.time().now() + 50);
        }
        fleet.time().runUntil(fleet.time().now() + 1_000);

        for (List<CallerAnswers.Submission> answer : answers) {
            assertTrue(
                    answer.stream()
                            .noneMatch(each -> each instanceof CallerAnswers.Submission.Refused refused
                                    && refused.reason().equals("no-upstream-fits")),
                    () -> answer + "\n" + fleet.logLines());
        }
    }
}
