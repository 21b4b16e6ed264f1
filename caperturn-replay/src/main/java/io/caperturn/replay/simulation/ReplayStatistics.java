package io.caperturn.replay.simulation;

import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.Table;
import io.caperturn.replay.Deployment;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Counters of a replay: waiting and running tasks, lost and busy slot time, starts, frames and messages. Slot time is
 * lost while a slot is idle although a task of a kind without limits waits.
 */
final class ReplayStatistics {
    private final Table table;
    private final Deployment.Upstreams upstreams;
    private final Map<String, Integer> waitingByKind = new HashMap<>();
    private final Map<String, Integer> runningByKind = new HashMap<>();
    private final Map<String, Integer> runningByTeam = new HashMap<>();
    private final Map<String, Long> messagesByType = new TreeMap<>();
    private final FairnessMeter fairness;
    private int waitingTasksOfUnlimitedKinds;
    private int idleSlots;
    private double lastUpdateMilliseconds;
    private double lostSlotMilliseconds;
    private double busySlotMilliseconds;
    private int runningTasks;
    private long starts;
    private long frames;
    private long messages;
    private long limitBreaches;

    ReplayStatistics(Table table, Deployment.Upstreams upstreams) {
        this.table = table;
        this.upstreams = upstreams;
        this.idleSlots = upstreams.totalSlots();
        this.fairness = new FairnessMeter(new TreeMap<>(table.kinds()), upstreams.totalSlots());
    }

    void recordFrame(String messageType, int messagesInFrame) {
        frames++;
        messages += messagesInFrame;
        messagesByType.merge(messageType, (long) messagesInFrame, Long::sum);
    }

    void addWaitingTasks(String kind, int tasks, double nowMilliseconds) {
        advance(nowMilliseconds);
        if (isUnlimited(kind)) {
            waitingTasksOfUnlimitedKinds += tasks;
        }
        fairness.setWaiting(kind, waitingByKind.merge(kind, tasks, Integer::sum));
    }

    void recordStart(String kind, String team, double nowMilliseconds) {
        advance(nowMilliseconds);
        starts++;
        idleSlots--;
        runningTasks++;
        int runningOfKind = runningByKind.merge(kind, 1, Integer::sum);
        int runningOfTeam = runningByTeam.merge(team, 1, Integer::sum);
        KindRow row = table.kinds().get(kind);
        if (runningOfKind > row.limits().running()
                || runningOfTeam > table.teamLimits(team).running()) {
            limitBreaches++;
        }
        fairness.setRunning(kind, runningOfKind);
    }

    void recordCompletion(String kind, String team, double nowMilliseconds) {
        advance(nowMilliseconds);
        idleSlots++;
        runningTasks--;
        runningByTeam.merge(team, -1, Integer::sum);
        fairness.setRunning(kind, runningByKind.merge(kind, -1, Integer::sum));
    }

    void recordUpstreamLoss(double nowMilliseconds) {
        advance(nowMilliseconds);
        idleSlots -= upstreams.slots();
    }

    void completeSecond(double nowMilliseconds) {
        advance(nowMilliseconds);
        fairness.completeSecond();
    }

    double maximumFairnessDeviation() {
        return fairness.maximumDeviation();
    }

    long starts() {
        return starts;
    }

    long frames() {
        return frames;
    }

    long messages() {
        return messages;
    }

    Map<String, Long> messagesByType() {
        return messagesByType;
    }

    long limitBreaches() {
        return limitBreaches;
    }

    /**
     * Returns the lost slot time divided by the sum of lost and busy slot time.
     *
     * @return the share, from 0 to 1
     */
    double lostSlotShare() {
        return lostSlotMilliseconds / Math.max(1, lostSlotMilliseconds + busySlotMilliseconds);
    }

    private boolean isUnlimited(String kind) {
        Limits limits = table.kinds().get(kind).limits();
        return limits.running() == Limits.UNLIMITED && limits.startsPerSecond() == Limits.UNLIMITED;
    }

    /** Adds the busy and lost slot time since the last update. */
    private void advance(double nowMilliseconds) {
        double elapsedMilliseconds = nowMilliseconds - lastUpdateMilliseconds;
        lastUpdateMilliseconds = nowMilliseconds;
        lostSlotMilliseconds += elapsedMilliseconds * Math.max(0, Math.min(idleSlots, waitingTasksOfUnlimitedKinds));
        busySlotMilliseconds += elapsedMilliseconds * runningTasks;
        fairness.advance(elapsedMilliseconds);
    }
}
