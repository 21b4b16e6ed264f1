package io.caperturn.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.Repeatability;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the limits of kinds of task and of teams, and refusals; each task takes 100 ms. */
class FairSchedulerLimitsTest {
    /**
     * Returns a simulation with one kind of task and one back end.
     *
     * @param byTeam true if the limits apply to the team, false if they apply to the kind
     * @param limits the limits
     */
    private static SchedulerSimulation simulation(boolean byTeam, Limits limits) {
        SchedulerSimulation simulation =
                new SchedulerSimulation().kind("k", /* weight= */ 1, Urgency.NORMAL, byTeam ? Limits.NONE : limits);
        if (byTeam) {
            simulation.team("team", limits);
        }
        return simulation.backend("b", /* slots= */ 8, /* window= */ 16);
    }

    @ParameterizedTest
    @CsvSource({"true, 1", "true, 3", "false, 1", "false, 3"})
    void numberOfRunningTasksReachesButNeverExceedsTheLimit(boolean byTeam, int limit) {
        SchedulerSimulation simulation = simulation(
                byTeam,
                new Limits(
                        /* running= */ limit, /* queued= */ Limits.UNLIMITED, /* startsPerSecond= */ Limits.UNLIMITED));
        simulation.submit("team", "k", /* key= */ "1", /* tasks= */ 100);
        simulation.runUntil(Duration.ofSeconds(3));
        assertEquals(limit, simulation.maximumConcurrent(run -> true));
    }

    @ParameterizedTest
    @CsvSource({"true, 1", "true, 7", "false, 1", "false, 7"})
    void startsInAnySecondStayWithinTheLimit(boolean byTeam, int limit) {
        SchedulerSimulation simulation = simulation(byTeam, new Limits(Limits.UNLIMITED, Limits.UNLIMITED, limit));
        simulation.submit("team", "k", "1", 50);
        simulation.runUntil(Duration.ofSeconds(5));
        for (SchedulerSimulation.Run run : simulation.history()) {
            long startsWithinSecond = simulation.history().stream()
                    .filter(other -> !other.start().isBefore(run.start())
                            && other.start().isBefore(run.start().plusSeconds(1)))
                    .count();
            assertTrue(startsWithinSecond <= limit, startsWithinSecond + " starts in a second");
        }
        assertTrue(simulation.history().size() >= 4 * limit);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void submissionBeyondQueueLimitIsRefusedWithRetryDelay(boolean byTeam) {
        SchedulerSimulation simulation = simulation(byTeam, new Limits(Limits.UNLIMITED, 100, Limits.UNLIMITED));
        simulation.submit("team", "k", "1", 100);
        simulation.runUntil(Duration.ofMillis(550));
        simulation.submit("team", "k", "2", 48);
        AdmissionDecision.Refused refused =
                assertInstanceOf(AdmissionDecision.Refused.class, simulation.submit("team", "k", "3", 40));
        assertEquals(FailureReason.QUEUE_FULL, refused.reason());
        double startsPerSecond = simulation.history().size() / 0.55;
        // The tasks that would wait (100 + 48 + 40 less those that started), less the queue limit of 100.
        double tasksBeyondLimit = 100 - simulation.history().size() + 48 + 40 - 100;
        assertEquals(
                tasksBeyondLimit / startsPerSecond,
                refused.retryAfter().orElseThrow().toMillis() / 1e3,
                /* delta= */ 0.5);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void submissionLargerThanQueueLimitIsRefusedWithoutRetryDelay(boolean byTeam) {
        SchedulerSimulation simulation = simulation(byTeam, new Limits(Limits.UNLIMITED, 10, Limits.UNLIMITED));
        AdmissionDecision.Refused refused =
                assertInstanceOf(AdmissionDecision.Refused.class, simulation.submit("team", "k", "1", 11));
        assertEquals(Optional.empty(), refused.retryAfter());
    }

    @Test
    void releasedReservationFreesQueueCapacity() {
        SchedulerSimulation simulation =
                simulation(/* byTeam= */ false, new Limits(Limits.UNLIMITED, 10, Limits.UNLIMITED));
        Submission withdrawn = simulation.submission("team", "k", "1", 10);
        assertInstanceOf(
                AdmissionDecision.Admitted.class, simulation.scheduler().admit(withdrawn, simulation.now()));
        simulation.scheduler().releaseReservation(withdrawn);
        assertInstanceOf(AdmissionDecision.Admitted.class, simulation.submit("team", "k", "2", 10));
    }

    @Test
    void removalOfWaitingTasksFreesQueueCapacity() {
        SchedulerSimulation simulation = simulation(false, new Limits(1, 10, Limits.UNLIMITED));
        simulation.submit("team", "k", "1", 10);
        simulation
                .scheduler()
                .removeWaitingTasks(simulation.submission("team", "k", "1", 1).id());
        assertInstanceOf(AdmissionDecision.Admitted.class, simulation.submit("team", "k", "2", 10));
    }

    @Test
    void submissionIsRefusedWhenStartRateCannotMeetDeadline() {
        SchedulerSimulation simulation = simulation(false, new Limits(Limits.UNLIMITED, Limits.UNLIMITED, 10));
        Submission submission = simulation.submission(
                "team", "k", "1", 100, Repeatability.AT_MOST_ONCE, /* deadline= */ Duration.ofSeconds(5));
        AdmissionDecision.Refused refused =
                assertInstanceOf(AdmissionDecision.Refused.class, simulation.submit(submission));
        assertEquals(FailureReason.RATE_LIMITED, refused.reason());
    }

    @Test
    void submissionThatCannotMeetItsDeadlineIsRefused() {
        SchedulerSimulation simulation = simulation(false, Limits.NONE);
        simulation.submit("team", "k", "1", 100);
        simulation.runUntil(Duration.ofSeconds(2));
        Submission late =
                simulation.submission("team", "k", "2", 1_800, Repeatability.AT_MOST_ONCE, Duration.ofSeconds(5));
        AdmissionDecision.Refused refused = assertInstanceOf(AdmissionDecision.Refused.class, simulation.submit(late));
        assertEquals(FailureReason.DEADLINE, refused.reason());
    }

    @Test
    void smallWindowDoesNotCauseDeadlineRefusal() {
        SchedulerSimulation simulation = simulation(false, Limits.NONE);
        simulation.submit("team", "k", "1", 100);
        simulation.runUntil(Duration.ofSeconds(2));
        simulation.scheduler().windowChanged(SchedulerSimulation.sidecar("b"), /* window= */ 1);
        Submission submission =
                simulation.submission("team", "k", "2", 40, Repeatability.AT_MOST_ONCE, Duration.ofMillis(600));
        assertInstanceOf(AdmissionDecision.Admitted.class, simulation.submit(submission));
    }

    @Test
    void kindWithoutUpstreamIsUnservableAfterGracePeriod() {
        SchedulerSimulation simulation = new SchedulerSimulation().kind("k", Urgency.NORMAL);
        simulation.submit("team", "k", "1", 1);
        Duration grace = SchedulerPolicy.DEFAULT.admission().unservableGrace();
        // The first call starts the grace period.
        simulation.scheduler().findUnservableSubmissions(simulation.now());
        assertTrue(simulation
                .scheduler()
                .findUnservableSubmissions(simulation.now().plus(grace).minusMillis(1))
                .isEmpty());
        assertEquals(
                1,
                simulation
                        .scheduler()
                        .findUnservableSubmissions(simulation.now().plus(grace))
                        .size());
    }

    @Test
    void placementWithUnknownOutcomeCountsAsRunningUntilItsTimeout() {
        SchedulerSimulation simulation = simulation(false, new Limits(1, Limits.UNLIMITED, Limits.UNLIMITED));
        simulation.outcomes(name -> PlacementOutcome.UNKNOWN);
        simulation.submit("team", "k", "1", 2);
        simulation.runUntil(SchedulerSimulation.TASK_TIMEOUT.minusMillis(1));
        assertEquals(1, simulation.history().size());
        simulation.runUntil(SchedulerSimulation.TASK_TIMEOUT.plusMillis(100));
        assertEquals(2, simulation.history().size());
    }
}
