package io.caperturn.core.schedule;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.core.model.Limits;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the order in which waiting tasks are placed; tasks take 100 ms unless a test says otherwise. */
class FairSchedulerOrderTest {
    @ParameterizedTest
    @CsvSource({"NORMAL, URGENT", "BACKGROUND, URGENT", "BACKGROUND, NORMAL"})
    void tasksOfMoreUrgentKindArePlacedFirst(Urgency lower, Urgency higher) {
        SchedulerSimulation simulation = new SchedulerSimulation()
                .kind("low", lower)
                .kind("high", higher)
                .backend("b", /* slots= */ 1, /* window= */ 2);
        simulation.submit("team", "low", /* key= */ "1", /* tasks= */ 3);
        simulation.submit("team", "high", "1", 3);
        simulation.runUntil(Duration.ofMillis(550));
        assertEquals(
                List.of("high", "high", "high", "low", "low", "low"),
                simulation.history().stream().map(SchedulerSimulation.Run::kind).toList());
    }

    @ParameterizedTest
    @CsvSource({"1, 1, 100, 100", "1, 3, 100, 100", "2, 5, 100, 300", "1, 4, 700, 50"})
    void kindsShareSlotTimeByWeight(int firstWeight, int secondWeight, int firstMilliseconds, int secondMilliseconds) {
        SchedulerSimulation simulation = new SchedulerSimulation()
                .kind("first", firstWeight, Urgency.NORMAL, Limits.NONE)
                .kind("second", secondWeight, Urgency.NORMAL, Limits.NONE);
        Map<String, Integer> serviceMilliseconds = Map.of("first", firstMilliseconds, "second", secondMilliseconds);
        KindServiceTimes.apply(simulation, serviceMilliseconds, /* slots= */ 8);
        simulation.submit("team", "first", "1", 4_000);
        simulation.submit("team", "second", "1", 4_000);
        simulation.runUntil(Duration.ofSeconds(15));
        double first = KindServiceTimes.slotSeconds(simulation, "first", Duration.ofSeconds(5), Duration.ofSeconds(15));
        double second =
                KindServiceTimes.slotSeconds(simulation, "second", Duration.ofSeconds(5), Duration.ofSeconds(15));
        double expected = (double) firstWeight / (firstWeight + secondWeight);
        assertEquals(expected, first / (first + second), 0.1 * expected);
    }

    @Test
    void teamsOfAKindShareSlotTimeEqually() {
        SchedulerSimulation simulation =
                new SchedulerSimulation().kind("k", Urgency.NORMAL).backend("b", 8, 16);
        simulation.submit("large", "k", "1", 1_800);
        simulation.submit("small", "k", "1", 900);
        simulation.runUntil(Duration.ofSeconds(10));
        Map<String, Integer> starts =
                simulation.count(SchedulerSimulation.Run::team, Duration.ZERO, Duration.ofSeconds(10));
        assertEquals(starts.get("small"), starts.get("large"), /* delta= */ 10);
    }

    @Test
    void smallSubmissionOvertakesLargeSubmissionOfItsTeam() {
        SchedulerSimulation simulation =
                new SchedulerSimulation().kind("k", Urgency.NORMAL).backend("b", 8, 16);
        simulation.submit("team", "k", "large", 1_800);
        simulation.runUntil(Duration.ofSeconds(1));
        simulation.submit("team", "k", "small", 4);
        simulation.runUntil(Duration.ofMillis(1_150));
        assertEquals(
                4,
                simulation.history().stream()
                        .filter(run -> run.placement().task().submission().key().equals(/* kind and key */ "k-small"))
                        .count());
    }

    @Test
    void largeSubmissionIsNotStarvedBySmallOnes() {
        SchedulerSimulation simulation =
                new SchedulerSimulation().kind("k", Urgency.NORMAL).backend("b", 2, 4);
        simulation.submit("team", "k", "large", 20);
        for (int second = 0; second < 30; second++) {
            // More than the 20 tasks that the back end can run in a second.
            for (int job = 0; job < 25; job++) {
                simulation.submit("team", "k", "s" + second + "x" + job, 1);
            }
            simulation.runUntil(Duration.ofSeconds(second + 1));
        }
        assertEquals(
                20,
                simulation.history().stream()
                        .filter(run -> run.placement().task().submission().key().equals("k-large"))
                        .count());
    }

    @Test
    void overdueBackgroundTasksGetTheirShareAheadOfUrgentTasks() {
        SchedulerSimulation simulation = new SchedulerSimulation()
                .kind("urgent", Urgency.URGENT)
                .kind("late", Urgency.BACKGROUND)
                .backend("b", 8, 16);
        simulation.submit("team", "urgent", "1", 4_000);
        simulation.submit("team", "late", "1", 1_000);
        simulation.runUntil(Duration.ofSeconds(30));
        Duration waitBeforeUrgent = SchedulerPolicy.DEFAULT.order().backgroundWaitBeforeUrgent();
        assertEquals(
                null,
                simulation
                        .count(SchedulerSimulation.Run::kind, Duration.ZERO, waitBeforeUrgent)
                        .get("late"));
        Map<String, Integer> startsAfterWait = simulation.count(
                SchedulerSimulation.Run::kind, waitBeforeUrgent.plusSeconds(1), Duration.ofSeconds(30));
        double share =
                (double) startsAfterWait.get("late") / (startsAfterWait.get("late") + startsAfterWait.get("urgent"));
        double configuredShare = SchedulerPolicy.DEFAULT.order().overdueShare();
        assertTrue(share > 0.9 * configuredShare && share < 1.1 * configuredShare, "share " + share);
    }

    @Test
    void removedWaitingTasksAreNeverPlaced() {
        SchedulerSimulation simulation =
                new SchedulerSimulation().kind("k", Urgency.NORMAL).backend("b", 1, 1);
        simulation.submit("team", "k", "gone", 50);
        simulation.submit("team", "k", "stays", 1);
        simulation
                .scheduler()
                .removeWaitingTasks(
                        simulation.submission("team", "k", "gone", 1).id());
        simulation.runUntil(Duration.ofSeconds(2));
        assertEquals(
                Map.of("team", 1),
                simulation.count(SchedulerSimulation.Run::team, Duration.ZERO, Duration.ofSeconds(2)));
    }
}
