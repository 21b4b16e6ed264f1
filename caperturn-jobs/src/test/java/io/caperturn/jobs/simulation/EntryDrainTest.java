package io.caperturn.jobs.simulation;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.owner.CallerAnswers;
import io.caperturn.jobs.owner.EntryDrain;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the graceful stop of an entry, while callers come to it and after they have gone elsewhere. */
class EntryDrainTest {
    // Urgency 0, at most two failed runs, objective of 1.6 times the estimate plus 60 ms.
    private static final QueuePolicy QUEUE = new QueuePolicy("queue", "host", "/q/", "service", 0, 2, 1.6, 60);
    private static final long GRACE_MILLISECONDS = 6_000;
    /** Time that a stopping process needs to hand over what it could not finish, in milliseconds. */
    private static final long HAND_OVER_MILLISECONDS = 1_200;

    private static final long MAX_REFUSAL_MILLISECONDS = 20;

    private final SimulatedFleet fleet =
            new SimulatedFleet(2, 3, task -> task.job().startsWith("long") ? 1_300 : 100);
    private final Callers callers = new Callers(fleet);
    private long stoppedAt;

    /** Interval of submissions, in milliseconds: the upstreams have room for twice as many jobs. */
    private static final long INTERVAL_MILLISECONDS = 100;

    /** Submits jobs for a time, and lets the first entry stop after a second. */
    private void play(String job, long taskMilliseconds, long callersLeaveAt) {
        long stopAt = fleet.time().now() + 1_000;
        fleet.time()
                .after(
                        1_000,
                        () -> fleet.loop("entry-0")
                                .run(() -> new EntryDrain(
                                                fleet.loop("entry-0"),
                                                fleet.entry(0),
                                                GRACE_MILLISECONDS,
                                                () -> stoppedAt = fleet.time().now() - stopAt)
                                        .start()));
        for (int number = 0; stoppedAt == 0 && fleet.time().now() < stopAt + 10_000; number++) {
            if (fleet.time().now() < stopAt + callersLeaveAt) {
                callers.submit(0, job + number, SampleJobs.plan(1, false, taskMilliseconds), QUEUE);
            }
            callers.advance(INTERVAL_MILLISECONDS);
        }
        callers.advance(2_000);
    }

    /** Guards against refusals while there is time to serve the callers whom the load balancer still sends. */
    @ParameterizedTest
    @CsvSource({"short, 100", "long, 1300"})
    void callersAreServedAsLongAsTheirJobsCanComplete(String job, long taskMilliseconds) {
        play(job, taskMilliseconds, /* callersLeaveAt= */ Long.MAX_VALUE / 2);

        long served = callers.allCallers().stream()
                .filter(caller -> caller.answers().contains(new CallerAnswers.Submission.Finished(JobState.COMPLETED)))
                .count();
        long possible =
                (1_000 + GRACE_MILLISECONDS - HAND_OVER_MILLISECONDS - taskMilliseconds) / INTERVAL_MILLISECONDS;
        assertTrue(served >= possible, () -> served + " served, " + possible + " could complete");
        for (Callers.Caller caller : callers.allCallers()) {
            assertEquals(1, caller.answers().size(), "each caller is answered exactly once");
            if (caller.answers().getFirst() instanceof CallerAnswers.Submission.Refused) {
                assertTrue(caller.answerMilliseconds() <= MAX_REFUSAL_MILLISECONDS, "refused at once");
            }
        }
        assertTrue(stoppedAt > 0 && stoppedAt <= GRACE_MILLISECONDS, () -> "stopped after " + stoppedAt);
    }

    /** Guards against an entry that stays away for the whole grace period although nobody comes. */
    @ParameterizedTest
    @CsvSource({"short, 100", "long, 1300"})
    void entryStopsSoonOnceCallersGoElsewhere(String job, long taskMilliseconds) {
        play(job, taskMilliseconds, /* callersLeaveAt= */ 2_000);

        assertTrue(stoppedAt > 0 && stoppedAt < 2_000 + 2 * taskMilliseconds + 500, () -> "stopped after " + stoppedAt);
    }
}
