package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.owner.CallerAnswers;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the answers to callers while more work is submitted than the upstreams can do. */
class OverloadTest {
    private static final QueuePolicy QUEUE = new QueuePolicy("queue", "host", "/q/", "service", 0, 2, 1.6, 60);
    private static final int TASKS = 4;
    private static final long TASK_MILLISECONDS = 300;
    /** Maximum duration of a job on time, by the policy of the queue: 1.6 times the task duration, plus 60 ms. */
    private static final long OBJECTIVE_MILLISECONDS = 540;

    private static final int ARRIVAL_SECONDS = 6;
    /** The upstreams run thirty tasks of 0.3 s at a time, and a job has four tasks. */
    private static final int CAPACITY_JOBS_PER_SECOND = 25;
    /**
     * Share of the capacity that must complete on time at any overload; the rest may be lost to refusals by estimate.
     */
    private static final double MIN_ON_TIME_SHARE = 0.7;
    /** Maximum time to a refusal: a few round trips. */
    private static final long MAX_REFUSAL_MILLISECONDS = 20;

    @ParameterizedTest
    @CsvSource({"0.7, 1", "1.0, 2", "1.5, 3", "2.0, 4", "4.0, 5"})
    void capacityIsUsedForJobsThatCompleteOnTime(double load, long seed) {
        Random random = new Random(seed);
        SimulatedFleet fleet = new SimulatedFleet(
                2, 3, task -> Math.round(TASK_MILLISECONDS * (0.7 + 0.6 * new Random(task.hashCode()).nextDouble())));
        Callers callers = new Callers(fleet);
        double jobsPerSecond = load * CAPACITY_JOBS_PER_SECOND;
        long start = fleet.time().now();
        double nextArrival = start;
        while (fleet.time().now() < start + 1_000L * ARRIVAL_SECONDS) {
            if (fleet.time().now() >= nextArrival) {
                nextArrival += -Math.log(1 - random.nextDouble()) * 1_000 / jobsPerSecond;
                String job = "job-" + callers.all().size();
                callers.submit(random.nextInt(2), job, SimulatedFleet.plan(TASKS, false, TASK_MILLISECONDS), QUEUE);
            }
            callers.advance();
        }
        callers.advance(5_000);

        long onTime = callers.all().stream()
                .filter(caller -> caller.answers().contains(new CallerAnswers.Submission.Finished(JobState.COMPLETED))
                        && caller.answerMilliseconds() <= OBJECTIVE_MILLISECONDS)
                .count();
        double possible = Math.min(load, 1) * CAPACITY_JOBS_PER_SECOND * ARRIVAL_SECONDS;
        assertTrue(
                onTime >= MIN_ON_TIME_SHARE * possible,
                () -> onTime + " of " + callers.all().size() + " in time, " + possible + " possible");
        for (Callers.Caller caller : callers.all()) {
            assertEquals(1, caller.answers().size(), "each caller is answered exactly once");
            if (caller.answers().getFirst() instanceof CallerAnswers.Submission.Refused) {
                assertTrue(caller.answerMilliseconds() <= MAX_REFUSAL_MILLISECONDS, "refused at once");
            }
        }
        assertEquals(List.of(), fleet.record().violations());
    }
}
