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

/** What callers get while more is asked for than the upstreams can do. */
class OverloadTest {
    private static final QueuePolicy QUEUE = new QueuePolicy("queue", "host", "/q/", "service", 0, 2, 1.6, 60);
    private static final int TASKS = 4;
    private static final long WORK_MILLISECONDS = 300;
    private static final long OBJECTIVE_MILLISECONDS = 540;
    private static final int SECONDS = 6;
    /** Thirty tasks at a time, of 0.3 s each, four a job. */
    private static final int CAPACITY_A_SECOND = 25;
    /** Share of the capacity that has to end in time at any overload: the rest may be lost to refusals in doubt. */
    private static final double SHARE_IN_TIME = 0.7;
    /** A refusal is at once: within a few round trips. */
    private static final long AT_ONCE_MILLISECONDS = 20;

    @ParameterizedTest
    @CsvSource({"0.7, 1", "1.0, 2", "1.5, 3", "2.0, 4", "4.0, 5"})
    void capacityGoesToJobsThatEndInTime(double load, long seed) {
        Random random = new Random(seed);
        SimulatedFleet fleet = new SimulatedFleet(
                2, 3, task -> Math.round(WORK_MILLISECONDS * (0.7 + 0.6 * new Random(task.hashCode()).nextDouble())));
        Callers callers = new Callers(fleet);
        double rate = load * CAPACITY_A_SECOND;
        long start = fleet.time().now();
        double next = start;
        while (fleet.time().now() < start + 1_000L * SECONDS) {
            if (fleet.time().now() >= next) {
                next += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
                String job = "job-" + callers.all().size();
                callers.submit(random.nextInt(2), job, SimulatedFleet.plan(TASKS, false, WORK_MILLISECONDS), QUEUE);
            }
            callers.pass();
        }
        callers.pass(5_000);

        long inTime = callers.all().stream()
                .filter(caller -> caller.answers().contains(new CallerAnswers.Submission.Finished(JobState.COMPLETED))
                        && caller.took() <= OBJECTIVE_MILLISECONDS)
                .count();
        double possible = Math.min(load, 1) * CAPACITY_A_SECOND * SECONDS;
        assertTrue(
                inTime >= SHARE_IN_TIME * possible,
                () -> inTime + " of " + callers.all().size() + " in time, " + possible + " possible");
        for (Callers.Caller caller : callers.all()) {
            assertEquals(1, caller.answers().size(), "each is answered once");
            if (caller.answers().getFirst() instanceof CallerAnswers.Submission.Refused) {
                assertTrue(caller.took() <= AT_ONCE_MILLISECONDS, "refused at once");
            }
        }
        assertEquals(List.of(), fleet.record().breaches());
    }
}
