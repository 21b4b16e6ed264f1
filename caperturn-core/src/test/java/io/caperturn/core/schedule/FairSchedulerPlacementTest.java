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

/** Tests the choice of back ends; tasks take 100 ms and complete unless a test says otherwise. */
class FairSchedulerPlacementTest {
    private static final Duration START = Duration.ZERO;

    /** Returns a simulation with one kind of task and the back ends b0, b1 and so on, each with 4 slots. */
    private static SchedulerSimulation simulation(int backends) {
        SchedulerSimulation simulation = new SchedulerSimulation().kind("k", Urgency.NORMAL);
        for (int index = 0; index < backends; index++) {
            simulation.backend("b" + index, /* slots= */ 4, /* window= */ 8);
        }
        return simulation;
    }

    /** Submits an idempotent request with one task at a fixed interval, and runs the simulation until the end time. */
    private static void submitAtInterval(
            SchedulerSimulation simulation, int fromMilliseconds, int toMilliseconds, int intervalMilliseconds) {
        for (int time = fromMilliseconds; time < toMilliseconds; time += intervalMilliseconds) {
            simulation.runUntil(Duration.ofMillis(time));
            simulation.submit(
                    simulation.submission("team", "k", "r" + time, 1, Repeatability.IDEMPOTENT, Duration.ofMinutes(1)));
            simulation.place();
        }
        simulation.runUntil(Duration.ofMillis(toMilliseconds));
    }

    @ParameterizedTest
    @CsvSource({"4, 8, 4", "4, 3, 3", "4, 0, 0", "2, 1, 1"})
    void outstandingTasksStayWithinSlotsAndWindow(int slots, int window, int expected) {
        SchedulerSimulation simulation =
                new SchedulerSimulation().kind("k", Urgency.NORMAL).backend("b", slots, window);
        simulation.submit("team", "k", /* key= */ "1", /* tasks= */ 50);
        simulation.runUntil(Duration.ofSeconds(2));
        assertEquals(expected, simulation.maximumConcurrent(run -> true));
    }

    @Test
    void fasterBackendIsLearnedAndPreferred() {
        SchedulerSimulation simulation =
                simulation(2).serviceTime(name -> Duration.ofMillis(name.equals("b0") ? 400 : 100));
        submitAtInterval(simulation, 0, 20_000, 100);
        Map<String, Integer> startsByBackend =
                simulation.count(SchedulerSimulation.Run::backend, Duration.ofSeconds(10), Duration.ofSeconds(20));
        assertTrue(startsByBackend.get("b1") > 9 * startsByBackend.getOrDefault("b0", 0), startsByBackend.toString());
    }

    @Test
    void lastTasksOfASubmissionWaitForAFastBackend() {
        SchedulerSimulation simulation =
                simulation(2).serviceTime(name -> Duration.ofMillis(name.equals("b0") ? 1_000 : 100));
        simulation.submit("team", "k", "learn", 200);
        simulation.runUntil(Duration.ofSeconds(10));
        int runsBefore = simulation.history().size();
        simulation.submit("team", "k", "job", 6);
        simulation.runUntil(Duration.ofSeconds(12));
        assertTrue(simulation.history().stream()
                .skip(runsBefore)
                .allMatch(run -> run.backend().equals("b1")));
    }

    @Test
    void onlyFailingBackendIsEjectedAndProbedBySingleTasks() {
        SchedulerSimulation simulation = simulation(4)
                .serviceTime(name -> Duration.ofMillis(name.equals("b0") ? 5 : 100))
                .outcomes(name -> name.equals("b0") ? PlacementOutcome.FAILED : PlacementOutcome.COMPLETED);
        submitAtInterval(simulation, 0, 20_000, 20);
        Map<String, Integer> startsByBackend =
                simulation.count(SchedulerSimulation.Run::backend, Duration.ofSeconds(2), Duration.ofSeconds(20));
        assertTrue(startsByBackend.getOrDefault("b0", 0) <= 5, startsByBackend.toString());
    }

    @Test
    void backendIsUsedAgainAfterItsFailuresStop() {
        SchedulerSimulation simulation = simulation(2);
        simulation.outcomes(name -> name.equals("b0") && simulation.now().toEpochMilli() < 3_000
                ? PlacementOutcome.FAILED
                : PlacementOutcome.COMPLETED);
        submitAtInterval(simulation, 0, 20_000, 20);
        Map<String, Integer> startsByBackend =
                simulation.count(SchedulerSimulation.Run::backend, Duration.ofSeconds(15), Duration.ofSeconds(20));
        // At least a third.
        assertTrue(
                3 * startsByBackend.get("b0") >= startsByBackend.get("b0") + startsByBackend.get("b1"),
                startsByBackend.toString());
    }

    @Test
    void noBackendIsEjectedWhenAllFail() {
        SchedulerSimulation simulation = simulation(4).outcomes(name -> PlacementOutcome.FAILED);
        submitAtInterval(simulation, 0, 5_000, 20);
        Map<String, Integer> startsByBackend =
                simulation.count(SchedulerSimulation.Run::backend, Duration.ofSeconds(4), Duration.ofSeconds(5));
        assertEquals(4, startsByBackend.size());
    }

    @ParameterizedTest
    @CsvSource({"1, 4", "2, 4", "3, 5"})
    void ejectedBackendsStayWithinConfiguredFraction(int failingBackends, int allBackends) {
        SchedulerSimulation simulation = simulation(allBackends)
                .outcomes(name -> Integer.parseInt(name.substring(1)) < failingBackends
                        ? PlacementOutcome.FAILED
                        : PlacementOutcome.COMPLETED);
        submitAtInterval(simulation, 0, 3_000, 10);
        long avoidedBackends = allBackends
                - simulation
                        .count(SchedulerSimulation.Run::backend, Duration.ofMillis(1_000), Duration.ofMillis(1_500))
                        .size();
        assertTrue(
                avoidedBackends <= SchedulerPolicy.DEFAULT.health().maximumEjectedFraction() * allBackends,
                "avoided " + avoidedBackends);
    }

    @Test
    void newBackendStartsWithFewTasks() {
        SchedulerSimulation simulation = simulation(1);
        simulation.submit("team", "k", "1", 500);
        simulation.runUntil(Duration.ofSeconds(2));
        simulation.backend("new", 4, 8);
        simulation.place();
        int firstStarts = simulation
                .count(SchedulerSimulation.Run::backend, START, Duration.ofSeconds(3))
                .get("new");
        assertEquals(SchedulerPolicy.DEFAULT.health().newBackendSlots(), firstStarts);
        simulation.runUntil(Duration.ofSeconds(4));
        assertEquals(4, simulation.maximumConcurrent(run -> run.backend().equals("new")));
    }

    @Test
    void backendThatSlowsDownIsAvoidedBeforeItsTasksFinish() {
        SchedulerSimulation simulation = simulation(3);
        simulation.serviceTime(name -> name.equals("b0") && simulation.now().toEpochMilli() >= 5_000
                ? Duration.ofSeconds(20)
                : Duration.ofMillis(100));
        submitAtInterval(simulation, 0, 10_000, 20);
        Map<String, Integer> startsByBackend =
                simulation.count(SchedulerSimulation.Run::backend, Duration.ofMillis(5_500), Duration.ofSeconds(10));
        assertEquals(null, startsByBackend.get("b0"));
    }

    @Test
    void lostSidecarReceivesNoTasks() {
        SchedulerSimulation simulation = simulation(2);
        simulation.scheduler().sidecarLost(SchedulerSimulation.sidecar("b0"));
        simulation.submit("team", "k", "1", 50);
        simulation.runUntil(Duration.ofSeconds(1));
        assertEquals(
                1,
                simulation
                        .count(SchedulerSimulation.Run::backend, START, Duration.ofSeconds(1))
                        .size());
    }
}
