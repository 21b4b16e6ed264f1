package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests how often a task is started whose runs all fail; all times are virtual and in milliseconds. */
class AttemptBudgetTest {
    private static final int JOBS = 12;
    private static final long LONG_TASK_MILLISECONDS = 60_000;

    /**
     * Guards against more starts than a queue allows because an adopter counts the listed failures of a task wrongly.
     */
    @ParameterizedTest
    @CsvSource({"4, 100", "4, 160", "4, 220", "4, 250", "4, 290", "4, 310", "4, 350", "2, 110", "2, 150", "7, 500"})
    void taskIsStartedAsOftenAsItsQueueAllowsAlsoIfItsOwnerIsLost(int attempts, long lossAfter) {
        SimulatedFleet fleet =
                new SimulatedFleet(2, 4, task -> task.job().startsWith("long") ? LONG_TASK_MILLISECONDS : 70);
        QueuePolicy queue = new QueuePolicy("queue", "host", "/q/", "service", 0, attempts, 1.6, 60_000);
        Map<String, Integer> starts = new HashMap<>();
        fleet.recordOfStarts()
                .setObserver((run, upstream) -> starts.merge(run.task().job(), 1, Integer::sum));
        for (int number = 0; number < 4; number++) {
            fleet.upstream(number)
                    .setOutcomes(run -> run.task().job().startsWith("failing") ? RunOutcome.FAILED : RunOutcome.DONE);
        }
        // The other entry has tasks at work on all upstreams, so that no lease lapses.
        fleet.submit(1, "long", SampleJobs.plan(8, /* durable= */ true, LONG_TASK_MILLISECONDS), queue);
        fleet.time().runUntil(fleet.time().now() + 500);
        for (int number = 0; number < JOBS; number++) {
            fleet.submit(0, "failing" + number, SampleJobs.plan(1, /* durable= */ true, 70), queue);
        }
        fleet.time().after(lossAfter, () -> fleet.kill("entry-0"));
        fleet.time().runUntil(fleet.time().now() + 20_000);

        for (int number = 0; number < JOBS; number++) {
            String job = "failing" + number;
            int count = starts.getOrDefault(job, 0);
            assertTrue(count <= attempts, () -> job + " was started " + count + " times\n" + fleet.logLines());
            assertEquals(new CallerAnswers.Lookup.Found(JobState.FAILED), fleet.lookUp(1, job));
        }
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }
}
