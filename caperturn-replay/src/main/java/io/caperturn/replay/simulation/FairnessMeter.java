package io.caperturn.replay.simulation;

import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;

/**
 * Measures how far the slot time of kinds (types of task) with a backlog deviates from the shares that their weights
 * give, over any 10 consecutive seconds. Slot time is the total time for which tasks ran.
 */
final class FairnessMeter {
    private static final int WINDOW_SECONDS = 10;

    private final SortedMap<String, KindRow> kinds;
    private final int backlogThreshold;
    private final Map<String, Integer> waitingByKind = new HashMap<>();
    private final Map<String, Integer> runningByKind = new HashMap<>();
    private final Deque<Map<String, KindUsage>> lastSeconds = new ArrayDeque<>();
    private Map<String, KindUsage> currentSecond = new HashMap<>();
    private double maximumDeviation;

    /**
     * Creates the meter.
     *
     * @param kinds the table rows of the kinds
     * @param backlogThreshold the number of waiting tasks from which a kind counts as backlogged
     */
    FairnessMeter(SortedMap<String, KindRow> kinds, int backlogThreshold) {
        this.kinds = kinds;
        this.backlogThreshold = backlogThreshold;
        startSecond();
    }

    void setWaiting(String kind, int tasks) {
        waitingByKind.put(kind, tasks);
        if (tasks < backlogThreshold) {
            currentSecond.get(kind).backlogged = false;
        }
    }

    void setRunning(String kind, int tasks) {
        runningByKind.put(kind, tasks);
    }

    /** Adds the slot time that the running tasks used since the last call. */
    void advance(double milliseconds) {
        runningByKind.forEach((kind, tasks) -> currentSecond.get(kind).slotMilliseconds += milliseconds * tasks);
    }

    /** Completes the current second of virtual time and checks the deviation over the last 10 s. */
    void completeSecond() {
        lastSeconds.addLast(currentSecond);
        if (lastSeconds.size() > WINDOW_SECONDS) {
            lastSeconds.removeFirst();
        }
        if (lastSeconds.size() == WINDOW_SECONDS) {
            // Weights divide slot time only among kinds of the same urgency, and only if no limit holds a kind back.
            kinds.values().stream()
                    .map(KindRow::urgency)
                    .distinct()
                    .forEach(urgency -> updateMaximumDeviation(kinds.values().stream()
                            .filter(row -> row.urgency() == urgency && isUnlimited(row) && isBacklogged(row.kind()))
                            .toList()));
        }
        startSecond();
    }

    /**
     * Returns the maximum deviation of a kind's share of the slot time from the share that its weight gives.
     *
     * @return the deviation divided by the expected share; 0 if no two kinds were backlogged at the same time
     */
    double maximumDeviation() {
        return maximumDeviation;
    }

    private void startSecond() {
        currentSecond = new HashMap<>();
        for (String kind : kinds.keySet()) {
            KindUsage second = new KindUsage();
            second.backlogged = waitingByKind.getOrDefault(kind, 0) >= backlogThreshold;
            currentSecond.put(kind, second);
        }
    }

    private static boolean isUnlimited(KindRow row) {
        return row.limits().running() == Limits.UNLIMITED && row.limits().startsPerSecond() == Limits.UNLIMITED;
    }

    private boolean isBacklogged(String kind) {
        return lastSeconds.stream().allMatch(second -> second.get(kind).backlogged);
    }

    private void updateMaximumDeviation(List<KindRow> competingKinds) {
        double totalWeight = competingKinds.stream().mapToInt(KindRow::weight).sum();
        double totalSlotMilliseconds = competingKinds.stream()
                .mapToDouble(row -> slotMillisecondsInWindow(row.kind()))
                .sum();
        if (competingKinds.size() < 2 || totalSlotMilliseconds == 0) {
            return;
        }
        for (KindRow row : competingKinds) {
            double expectedShare = row.weight() / totalWeight;
            maximumDeviation = Math.max(
                    maximumDeviation,
                    Math.abs(slotMillisecondsInWindow(row.kind()) / totalSlotMilliseconds - expectedShare)
                            / expectedShare);
        }
    }

    private double slotMillisecondsInWindow(String kind) {
        return lastSeconds.stream()
                .mapToDouble(second -> second.get(kind).slotMilliseconds)
                .sum();
    }

    /** Slot time and backlog of one kind in one second. */
    private static final class KindUsage {
        private boolean backlogged;
        private double slotMilliseconds;
    }
}
