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

class FairSchedulerOrderTest {
    @ParameterizedTest
    @CsvSource({"NORMAL, URGENT", "BACKGROUND, URGENT", "BACKGROUND, NORMAL"})
    void moreUrgentWorkGoesFirst(Urgency lower, Urgency higher) {
        SchedulerBench bench =
                new SchedulerBench().kind("low", lower).kind("high", higher).backend("b", 1, 2);
        bench.submit("team", "low", "1", 3);
        bench.submit("team", "high", "1", 3);
        bench.runUntil(Duration.ofMillis(550));
        assertEquals(
                List.of("high", "high", "high", "low", "low", "low"),
                bench.history().stream().map(SchedulerBench.Run::kind).toList());
    }

    @ParameterizedTest
    @CsvSource({"1, 1, 100, 100", "1, 3, 100, 100", "2, 5, 100, 300", "1, 4, 700, 50"})
    void kindsShareSlotTimeByWeight(int firstWeight, int secondWeight, int firstMillis, int secondMillis) {
        SchedulerBench bench = new SchedulerBench()
                .kind("first", firstWeight, Urgency.NORMAL, Limits.NONE)
                .kind("second", secondWeight, Urgency.NORMAL, Limits.NONE);
        Map<String, Integer> millis = Map.of("first", firstMillis, "second", secondMillis);
        KindTimes.apply(bench, millis, 8);
        bench.submit("team", "first", "1", 4_000);
        bench.submit("team", "second", "1", 4_000);
        bench.runUntil(Duration.ofSeconds(15));
        double first = KindTimes.slotSeconds(bench, "first", Duration.ofSeconds(5), Duration.ofSeconds(15));
        double second = KindTimes.slotSeconds(bench, "second", Duration.ofSeconds(5), Duration.ofSeconds(15));
        double expected = (double) firstWeight / (firstWeight + secondWeight);
        assertEquals(expected, first / (first + second), 0.1 * expected);
    }

    @Test
    void teamsOfAKindShareAlike() {
        SchedulerBench bench = new SchedulerBench().kind("k", Urgency.NORMAL).backend("b", 8, 16);
        bench.submit("large", "k", "1", 1_800);
        bench.submit("small", "k", "1", 900);
        bench.runUntil(Duration.ofSeconds(10));
        Map<String, Integer> starts = bench.count(SchedulerBench.Run::team, Duration.ZERO, Duration.ofSeconds(10));
        assertEquals(starts.get("small"), starts.get("large"), 10);
    }

    @Test
    void smallJobPassesLargeJobOfItsTeam() {
        SchedulerBench bench = new SchedulerBench().kind("k", Urgency.NORMAL).backend("b", 8, 16);
        bench.submit("team", "k", "large", 1_800);
        bench.runUntil(Duration.ofSeconds(1));
        bench.submit("team", "k", "small", 4);
        bench.runUntil(Duration.ofMillis(1_150));
        assertEquals(
                4,
                bench.history().stream()
                        .filter(run -> run.placement().task().submission().key().equals("k-small"))
                        .count());
    }

    @Test
    void largeJobIsNotStarvedBySmallOnes() {
        SchedulerBench bench = new SchedulerBench().kind("k", Urgency.NORMAL).backend("b", 2, 4);
        bench.submit("team", "k", "large", 20);
        for (int second = 0; second < 30; second++) {
            for (int job = 0; job < 25; job++) {
                bench.submit("team", "k", "s" + second + "x" + job, 1);
            }
            bench.runUntil(Duration.ofSeconds(second + 1));
        }
        assertEquals(
                20,
                bench.history().stream()
                        .filter(run -> run.placement().task().submission().key().equals("k-large"))
                        .count());
    }

    @Test
    void overdueWorkGetsItsShareBesideUrgentWork() {
        SchedulerBench bench = new SchedulerBench()
                .kind("urgent", Urgency.URGENT)
                .kind("late", Urgency.BACKGROUND)
                .backend("b", 8, 16);
        bench.submit("team", "urgent", "1", 4_000);
        bench.submit("team", "late", "1", 1_000);
        bench.runUntil(Duration.ofSeconds(30));
        Duration bound = SchedulerPolicy.DEFAULT.order().longestBackgroundWait();
        assertEquals(
                null,
                bench.count(SchedulerBench.Run::kind, Duration.ZERO, bound).get("late"));
        Map<String, Integer> after =
                bench.count(SchedulerBench.Run::kind, bound.plusSeconds(1), Duration.ofSeconds(30));
        double share = (double) after.get("late") / (after.get("late") + after.get("urgent"));
        double stated = SchedulerPolicy.DEFAULT.order().overdueShare();
        assertTrue(share > 0.9 * stated && share < 1.1 * stated, "share " + share);
    }

    @Test
    void removedSubmissionIsNeverPlaced() {
        SchedulerBench bench = new SchedulerBench().kind("k", Urgency.NORMAL).backend("b", 1, 1);
        bench.submit("team", "k", "gone", 50);
        bench.submit("team", "k", "stays", 1);
        bench.scheduler().removeWaitingTasks(bench.submission("team", "k", "gone", 1).id());
        bench.runUntil(Duration.ofSeconds(2));
        assertEquals(Map.of("team", 1), bench.count(SchedulerBench.Run::team, Duration.ZERO, Duration.ofSeconds(2)));
    }
}
