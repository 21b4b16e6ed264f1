package io.caperturn.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.core.model.Repeatability;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FairSchedulerPlacementTest {
    private static final Duration START = Duration.ZERO;

    private static SchedulerBench bench(int backends) {
        SchedulerBench bench = new SchedulerBench().kind("k", Urgency.NORMAL);
        for (int index = 0; index < backends; index++) {
            bench.backend("b" + index, 4, 8);
        }
        return bench;
    }

    /** Submits requests of one task at a steady pace. */
    private static void submitSteadily(SchedulerBench bench, int from, int to, int eachMilliseconds) {
        for (int time = from; time < to; time += eachMilliseconds) {
            bench.runUntil(Duration.ofMillis(time));
            bench.submit(bench.submission("team", "k", "r" + time, 1, Repeatability.IDEMPOTENT, Duration.ofMinutes(1)));
            bench.place();
        }
        bench.runUntil(Duration.ofMillis(to));
    }

    @ParameterizedTest
    @CsvSource({"4, 8, 4", "4, 3, 3", "4, 0, 0", "2, 1, 1"})
    void outstandingStaysWithinSlotsAndWindow(int slots, int window, int most) {
        SchedulerBench bench = new SchedulerBench().kind("k", Urgency.NORMAL).backend("b", slots, window);
        bench.submit("team", "k", "1", 50);
        bench.runUntil(Duration.ofSeconds(2));
        assertEquals(most, bench.mostAtOnce(run -> true));
    }

    @Test
    void fasterBackendIsLearnedAndPreferred() {
        SchedulerBench bench = bench(2).service(name -> Duration.ofMillis(name.equals("b0") ? 400 : 100));
        submitSteadily(bench, 0, 20_000, 100);
        Map<String, Integer> late =
                bench.count(SchedulerBench.Run::back, Duration.ofSeconds(10), Duration.ofSeconds(20));
        assertTrue(late.get("b1") > 9 * late.getOrDefault("b0", 0), late.toString());
    }

    @Test
    void lastTasksOfAJobWaitForAFastBackend() {
        SchedulerBench bench = bench(2).service(name -> Duration.ofMillis(name.equals("b0") ? 1_000 : 100));
        bench.submit("team", "k", "learn", 200);
        bench.runUntil(Duration.ofSeconds(10));
        int before = bench.history().size();
        bench.submit("team", "k", "job", 6);
        bench.runUntil(Duration.ofSeconds(12));
        assertTrue(
                bench.history().stream().skip(before).allMatch(run -> run.back().equals("b1")));
    }

    @Test
    void backendThatFailsWhatOthersCompleteIsEjectedAndProbedBySingleTasks() {
        SchedulerBench bench = bench(4).service(name -> Duration.ofMillis(name.equals("b0") ? 5 : 100))
                .ends(name -> name.equals("b0") ? PlacementOutcome.FAILED : PlacementOutcome.COMPLETED);
        submitSteadily(bench, 0, 20_000, 20);
        Map<String, Integer> late =
                bench.count(SchedulerBench.Run::back, Duration.ofSeconds(2), Duration.ofSeconds(20));
        assertTrue(late.getOrDefault("b0", 0) <= 5, late.toString());
    }

    @Test
    void recoveredBackendIsUsedAgain() {
        SchedulerBench bench = bench(2);
        bench.ends(name ->
                name.equals("b0") && bench.now().toEpochMilli() < 3_000 ? PlacementOutcome.FAILED : PlacementOutcome.COMPLETED);
        submitSteadily(bench, 0, 20_000, 20);
        Map<String, Integer> late =
                bench.count(SchedulerBench.Run::back, Duration.ofSeconds(15), Duration.ofSeconds(20));
        assertTrue(3 * late.get("b0") >= late.get("b0") + late.get("b1"), late.toString());
    }

    @Test
    void noBackendIsEjectedWhenAllFail() {
        SchedulerBench bench = bench(4).ends(name -> PlacementOutcome.FAILED);
        submitSteadily(bench, 0, 5_000, 20);
        Map<String, Integer> late = bench.count(SchedulerBench.Run::back, Duration.ofSeconds(4), Duration.ofSeconds(5));
        assertEquals(4, late.size());
    }

    @ParameterizedTest
    @CsvSource({"1, 4", "2, 4", "3, 5"})
    void ejectionStaysBelowTheStatedFraction(int failing, int all) {
        SchedulerBench bench = bench(all)
                .ends(name ->
                        Integer.parseInt(name.substring(1)) < failing ? PlacementOutcome.FAILED : PlacementOutcome.COMPLETED);
        submitSteadily(bench, 0, 3_000, 10);
        long avoided = all
                - bench.count(SchedulerBench.Run::back, Duration.ofMillis(1_000), Duration.ofMillis(1_500))
                        .size();
        assertTrue(avoided <= SchedulerPolicy.DEFAULT.health().ejectableFraction() * all, "avoided " + avoided);
    }

    @Test
    void newBackendStartsWithFewTasks() {
        SchedulerBench bench = bench(1);
        bench.submit("team", "k", "1", 500);
        bench.runUntil(Duration.ofSeconds(2));
        bench.backend("new", 4, 8);
        bench.place();
        int first = bench.count(SchedulerBench.Run::back, START, Duration.ofSeconds(3))
                .get("new");
        assertEquals(SchedulerPolicy.DEFAULT.health().newcomerSlots(), first);
        bench.runUntil(Duration.ofSeconds(4));
        assertEquals(4, bench.mostAtOnce(run -> run.back().equals("new")));
    }

    @Test
    void stragglerIsAvoidedBeforeItsTasksEnd() {
        SchedulerBench bench = bench(3);
        bench.service(name -> name.equals("b0") && bench.now().toEpochMilli() >= 5_000
                ? Duration.ofSeconds(20)
                : Duration.ofMillis(100));
        submitSteadily(bench, 0, 10_000, 20);
        Map<String, Integer> late =
                bench.count(SchedulerBench.Run::back, Duration.ofMillis(5_500), Duration.ofSeconds(10));
        assertEquals(null, late.get("b0"));
    }

    @Test
    void lostSidecarGetsNothing() {
        SchedulerBench bench = bench(2);
        bench.scheduler().sidecarLost(SchedulerBench.sidecar("b0"));
        bench.submit("team", "k", "1", 50);
        bench.runUntil(Duration.ofSeconds(1));
        assertEquals(
                1,
                bench.count(SchedulerBench.Run::back, START, Duration.ofSeconds(1))
                        .size());
    }
}
