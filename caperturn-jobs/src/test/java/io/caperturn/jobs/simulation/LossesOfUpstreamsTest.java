package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.TaskIdentity;
import io.caperturn.jobs.owner.CallerAnswers;
import io.caperturn.testkit.known.KnownFailures;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests repeated losses of upstreams whose cause is no task; all times are virtual and in milliseconds. */
@ExtendWith(KnownFailures.class)
class LossesOfUpstreamsTest {
    /** Relative speeds of eleven upstreams, as many as the users have. */
    private static final double[] SPEEDS = {0.55, 1.2, 1.2, 1.2, 1, 1, 1, 0.9, 0.9, 1.1, 1.1};

    private static final int LOST_AT_ONCE = 3;
    private static final int LOAD_SECONDS = 24;
    private static final long TASK_MILLISECONDS = 300;

    /** Crashes the same number of random upstreams again and again, for a downtime, until the load ends. */
    private static void loseRepeatedly(SimulatedFleet fleet, long interval, long downtime, long seed) {
        Random random = new Random(seed);
        List<Integer> numbers =
                new ArrayList<>(IntStream.range(0, SPEEDS.length).boxed().toList());
        for (long at = interval; at < 1_000L * LOAD_SECONDS; at += interval) {
            fleet.time().after(at, () -> {
                Collections.shuffle(numbers, random);
                numbers.subList(0, LOST_AT_ONCE)
                        .forEach(number -> fleet.upstream(number).crash(downtime));
            });
        }
    }

    /** Guards against a job that is shown as failed although no two upstreams crashed under any task of it. */
    @ParameterizedTest
    @CsvSource({
        "0.5, 700, 1260, 1",
        "0.5, 700, 1260, 2",
        "0.5, 1100, 1260, 3",
        "0.5, 1100, 1260, 4",
        "0.5, 1100, 1000, 5",
        "0.5, 3000, 1260, 1",
        "1.0, 700, 1260, 1",
        "1.0, 700, 1260, 2",
        "1.0, 1100, 1260, 3",
        "1.0, 3000, 1260, 2",
        "1.6, 700, 1260, 2",
        "1.6, 1100, 1000, 5",
        "2.7, 3000, 1260, 3"
    })
    void jobIsFailedOnlyIfTwoUpstreamsCrashedUnderOneOfItsTasks(double load, long interval, long downtime, long seed) {
        MixedLoad mixed = new MixedLoad(3, SPEEDS);
        loseRepeatedly(mixed.fleet(), interval, downtime, seed);
        mixed.submitAll(load, seed, LOAD_SECONDS);
        mixed.awaitCompletion();

        List<String> failedWithoutCause = new ArrayList<>();
        for (int number = 0; number < mixed.submittedJobs().size(); number++) {
            MixedLoad.SubmittedJob job = mixed.submittedJobs().get(number);
            assertEquals(1, job.caller().answers().size(), "each caller is answered exactly once");
            String identity = job.kind().name() + number;
            int crashes = IntStream.range(0, job.taskCount())
                    .map(index -> mixed.fleet().recordOfStarts().crashesUnder(new TaskIdentity(identity, 0, 0, index)))
                    .max()
                    .orElse(0);
            if (crashes < 2
                    && job.caller().answers().contains(new CallerAnswers.Submission.Finished(JobState.FAILED))) {
                failedWithoutCause.add(identity + " after " + crashes + " crashes");
            }
        }
        assertEquals(List.of(), failedWithoutCause);
        assertEquals(List.of(), mixed.fleet().recordOfStarts().violations());
    }

    /** Guards against tasks that wait at an upstream that is down while others have room. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void tasksSentToAnUpstreamThatIsDownAreRunElsewhereInTime(boolean durable) {
        SimulatedFleet fleet = new SimulatedFleet(1, 2, task -> TASK_MILLISECONDS);
        // The fleet is idle, so the sidecar learns of the crash only from the orders that follow.
        fleet.upstream(0).crash();
        long submittedAt = fleet.time().now();
        for (int number = 0; number < 4; number++) {
            fleet.submit(0, "job" + number, SampleJobs.plan(2, durable, TASK_MILLISECONDS));
        }
        fleet.time().runUntil(submittedAt + 2 * TASK_MILLISECONDS);

        for (int number = 0; number < 4; number++) {
            for (int index = 0; index < 2; index++) {
                assertTrue(fleet.recordOfStarts().hasSucceeded(new TaskIdentity("job" + number, 0, 0, index)));
            }
        }
        assertEquals(List.of(), fleet.recordOfStarts().violations());
    }
}
