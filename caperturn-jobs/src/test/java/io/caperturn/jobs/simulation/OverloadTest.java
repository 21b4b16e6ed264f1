package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.owner.Answers;
import java.util.ArrayList;
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

    private static final class Caller {
        private final long sent;
        private final List<Answers.Submission> answers;
        private long answeredAt = -1;

        Caller(long sent, List<Answers.Submission> answers) {
            this.sent = sent;
            this.answers = answers;
        }
    }

    @ParameterizedTest
    @CsvSource({"0.7, 1", "1.0, 2", "1.5, 3", "2.0, 4", "4.0, 5"})
    void capacityGoesToJobsThatEndInTime(double load, long seed) {
        Random random = new Random(seed);
        SimulatedFleet fleet = new SimulatedFleet(
                2, 3, task -> Math.round(WORK_MILLISECONDS * (0.7 + 0.6 * new Random(task.hashCode()).nextDouble())));
        List<Caller> callers = new ArrayList<>();
        double rate = load * CAPACITY_A_SECOND;
        long start = fleet.time().now();
        double next = start;
        while (fleet.time().now() < start + 1_000L * SECONDS) {
            if (fleet.time().now() >= next) {
                next += -Math.log(1 - random.nextDouble()) * 1_000 / rate;
                String job = "job-" + callers.size();
                callers.add(new Caller(
                        fleet.time().now(),
                        fleet.submit(
                                random.nextInt(2), job, SimulatedFleet.plan(TASKS, false, WORK_MILLISECONDS), QUEUE)));
            }
            pass(fleet, callers);
        }
        for (int millisecond = 0; millisecond < 5_000; millisecond++) {
            pass(fleet, callers);
        }

        long inTime = callers.stream()
                .filter(caller -> caller.answers.contains(new Answers.Submission.Ended(JobState.COMPLETED))
                        && caller.answeredAt - caller.sent <= OBJECTIVE_MILLISECONDS)
                .count();
        double possible = Math.min(load, 1) * CAPACITY_A_SECOND * SECONDS;
        assertTrue(
                inTime >= SHARE_IN_TIME * possible,
                () -> inTime + " of " + callers.size() + " in time, " + possible + " possible");
        for (Caller caller : callers) {
            assertEquals(1, caller.answers.size(), "each is answered once");
            if (caller.answers.getFirst() instanceof Answers.Submission.Refused) {
                assertTrue(caller.answeredAt - caller.sent <= AT_ONCE_MILLISECONDS, "refused at once");
            }
        }
        assertEquals(List.of(), fleet.record().breaches());
    }

    private static void pass(SimulatedFleet fleet, List<Caller> callers) {
        fleet.time().runUntil(fleet.time().now() + 1);
        for (Caller caller : callers) {
            if (caller.answeredAt < 0 && !caller.answers.isEmpty()) {
                caller.answeredAt = fleet.time().now();
            }
        }
    }
}
