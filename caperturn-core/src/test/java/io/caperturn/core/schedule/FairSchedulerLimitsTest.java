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

class FairSchedulerLimitsTest {
    private static SchedulerBench bench(boolean byTeam, Limits limits) {
        SchedulerBench bench = new SchedulerBench().kind("k", 1, Urgency.NORMAL, byTeam ? Limits.NONE : limits);
        if (byTeam) {
            bench.team("team", limits);
        }
        return bench.backend("b", 8, 16);
    }

    @ParameterizedTest
    @CsvSource({"true, 1", "true, 3", "false, 1", "false, 3"})
    void runningStaysWithinTheLimit(boolean byTeam, int limit) {
        SchedulerBench bench = bench(byTeam, new Limits(limit, Limits.UNLIMITED, Limits.UNLIMITED));
        bench.submit("team", "k", "1", 100);
        bench.runUntil(Duration.ofSeconds(3));
        assertEquals(limit, bench.mostAtOnce(run -> true));
    }

    @ParameterizedTest
    @CsvSource({"true, 1", "true, 7", "false, 1", "false, 7"})
    void startsInAnySecondStayWithinTheLimit(boolean byTeam, int limit) {
        SchedulerBench bench = bench(byTeam, new Limits(Limits.UNLIMITED, Limits.UNLIMITED, limit));
        bench.submit("team", "k", "1", 50);
        bench.runUntil(Duration.ofSeconds(5));
        for (SchedulerBench.Run run : bench.history()) {
            long within = bench.history().stream()
                    .filter(other -> !other.start().isBefore(run.start())
                            && other.start().isBefore(run.start().plusSeconds(1)))
                    .count();
            assertTrue(within <= limit, within + " starts in a second");
        }
        assertTrue(bench.history().size() >= 4 * limit);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void fullQueueRefusesAtOnceAndSaysWhenToComeBack(boolean byTeam) {
        SchedulerBench bench = bench(byTeam, new Limits(Limits.UNLIMITED, 100, Limits.UNLIMITED));
        bench.submit("team", "k", "1", 100);
        bench.runUntil(Duration.ofMillis(550));
        bench.submit("team", "k", "2", 48);
        AdmissionDecision.Refused refused = assertInstanceOf(AdmissionDecision.Refused.class, bench.submit("team", "k", "3", 40));
        assertEquals(FailureReason.QUEUE_FULL, refused.reason());
        double drained = bench.history().size() / 0.55;
        double excess = 100 - bench.history().size() + 48 + 40 - 100;
        assertEquals(excess / drained, refused.retryAfter().orElseThrow().toMillis() / 1e3, 0.5);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void demandBeyondALimitIsRefusedForGood(boolean byTeam) {
        SchedulerBench bench = bench(byTeam, new Limits(Limits.UNLIMITED, 10, Limits.UNLIMITED));
        AdmissionDecision.Refused refused = assertInstanceOf(AdmissionDecision.Refused.class, bench.submit("team", "k", "1", 11));
        assertEquals(Optional.empty(), refused.retryAfter());
    }

    @Test
    void withdrawnSubmissionGivesItsPlaceBack() {
        SchedulerBench bench = bench(false, new Limits(Limits.UNLIMITED, 10, Limits.UNLIMITED));
        Submission withdrawn = bench.submission("team", "k", "1", 10);
        assertInstanceOf(AdmissionDecision.Admitted.class, bench.scheduler().admit(withdrawn, bench.now()));
        bench.scheduler().releaseReservation(withdrawn);
        assertInstanceOf(AdmissionDecision.Admitted.class, bench.submit("team", "k", "2", 10));
    }

    @Test
    void removedSubmissionGivesItsPlaceBack() {
        SchedulerBench bench = bench(false, new Limits(1, 10, Limits.UNLIMITED));
        bench.submit("team", "k", "1", 10);
        bench.scheduler().removeWaitingTasks(bench.submission("team", "k", "1", 1).id());
        assertInstanceOf(AdmissionDecision.Admitted.class, bench.submit("team", "k", "2", 10));
    }

    @Test
    void rateThatCannotServeBeforeTheDeadlineRefuses() {
        SchedulerBench bench = bench(false, new Limits(Limits.UNLIMITED, Limits.UNLIMITED, 10));
        Submission submission =
                bench.submission("team", "k", "1", 100, Repeatability.AT_MOST_ONCE, Duration.ofSeconds(5));
        AdmissionDecision.Refused refused = assertInstanceOf(AdmissionDecision.Refused.class, bench.submit(submission));
        assertEquals(FailureReason.RATE_LIMITED, refused.reason());
    }

    @Test
    void jobThatCannotMeetItsDeadlineIsRefusedEarly() {
        SchedulerBench bench = bench(false, Limits.NONE);
        bench.submit("team", "k", "1", 100);
        bench.runUntil(Duration.ofSeconds(2));
        Submission late = bench.submission("team", "k", "2", 1_800, Repeatability.AT_MOST_ONCE, Duration.ofSeconds(5));
        AdmissionDecision.Refused refused = assertInstanceOf(AdmissionDecision.Refused.class, bench.submit(late));
        assertEquals(FailureReason.DEADLINE, refused.reason());
    }

    @Test
    void smallWindowIsNoReasonToRefuseForTheDeadline() {
        SchedulerBench bench = bench(false, Limits.NONE);
        bench.submit("team", "k", "1", 100);
        bench.runUntil(Duration.ofSeconds(2));
        bench.scheduler().windowChanged(SchedulerBench.sidecar("b"), 1);
        Submission submission =
                bench.submission("team", "k", "2", 40, Repeatability.AT_MOST_ONCE, Duration.ofMillis(600));
        assertInstanceOf(AdmissionDecision.Admitted.class, bench.submit(submission));
    }

    @Test
    void kindWithoutUpstreamIsUnservableAfterTheGrace() {
        SchedulerBench bench = new SchedulerBench().kind("k", Urgency.NORMAL);
        bench.submit("team", "k", "1", 1);
        Duration grace = SchedulerPolicy.DEFAULT.admission().unservableGrace();
        bench.scheduler().findUnservableSubmissions(bench.now());
        assertTrue(bench.scheduler()
                .findUnservableSubmissions(bench.now().plus(grace).minusMillis(1))
                .isEmpty());
        assertEquals(
                1, bench.scheduler().findUnservableSubmissions(bench.now().plus(grace)).size());
    }

    @Test
    void placementOfUnknownEndCountsAsRunningUntilItsTimeout() {
        SchedulerBench bench = bench(false, new Limits(1, Limits.UNLIMITED, Limits.UNLIMITED));
        bench.ends(name -> PlacementOutcome.UNKNOWN);
        bench.submit("team", "k", "1", 2);
        bench.runUntil(SchedulerBench.TASK_TIMEOUT.minusMillis(1));
        assertEquals(1, bench.history().size());
        bench.runUntil(SchedulerBench.TASK_TIMEOUT.plusMillis(100));
        assertEquals(2, bench.history().size());
    }
}
