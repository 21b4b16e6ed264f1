package io.caperturn.replay.simulation;

import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Limits;
import io.caperturn.core.model.Table;
import io.caperturn.replay.Deployment;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/** Counts of what happened in a replay: waiting and running tasks, slots, frames and messages. */
final class Recorder {
    private final Table table;
    private final Deployment.Upstreams upstreams;
    private final Map<String, Integer> waiting = new HashMap<>();
    private final Map<String, Integer> running = new HashMap<>();
    private final Map<String, Integer> runningByTeam = new HashMap<>();
    private final Map<String, Long> messagesByType = new TreeMap<>();
    private final FairnessMeter fairness;
    private int totalWaiting;
    private int idleSlots;
    private double since;
    private double lostSlotMilliseconds;
    private double busySlotMilliseconds;
    private int totalRunning;
    private long starts;
    private long frames;
    private long messages;
    private long limitBreaches;

    Recorder(Table table, Deployment.Upstreams upstreams) {
        this.table = table;
        this.upstreams = upstreams;
        this.idleSlots = upstreams.totalSlots();
        this.fairness = new FairnessMeter(new TreeMap<>(table.kinds()), upstreams.totalSlots());
    }

    void sent(String type, int messagesInFrame) {
        frames++;
        messages += messagesInFrame;
        messagesByType.merge(type, (long) messagesInFrame, Long::sum);
    }

    void waits(String kind, int tasks, double now) {
        advance(now);
        if (isUnlimited(kind)) {
            totalWaiting += tasks;
        }
        fairness.waiting(kind, waiting.merge(kind, tasks, Integer::sum));
    }

    void started(String kind, String team, double now) {
        advance(now);
        starts++;
        idleSlots--;
        totalRunning++;
        int ofKind = running.merge(kind, 1, Integer::sum);
        int ofTeam = runningByTeam.merge(team, 1, Integer::sum);
        KindRow row = table.kinds().get(kind);
        if (ofKind > row.limits().running() || ofTeam > table.teamLimits(team).running()) {
            limitBreaches++;
        }
        fairness.running(kind, ofKind);
    }

    void ended(String kind, String team, double now) {
        advance(now);
        idleSlots++;
        totalRunning--;
        runningByTeam.merge(team, -1, Integer::sum);
        fairness.running(kind, running.merge(kind, -1, Integer::sum));
    }

    void upstreamLost(double now) {
        advance(now);
        idleSlots -= upstreams.slots();
    }

    void closeSecond(double now) {
        advance(now);
        fairness.closeSecond();
    }

    double worstFairnessDeviation() {
        return fairness.worstDeviation();
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
     * Returns the slot time in which a slot was idle while a task of a kind without limits waited, as a part of that
     * and the busy slot time.
     */
    double lostSlotShare() {
        return lostSlotMilliseconds / Math.max(1, lostSlotMilliseconds + busySlotMilliseconds);
    }

    private boolean isUnlimited(String kind) {
        Limits limits = table.kinds().get(kind).limits();
        return limits.running() == Limits.UNLIMITED && limits.startsPerSecond() == Limits.UNLIMITED;
    }

    private void advance(double now) {
        double elapsed = now - since;
        since = now;
        lostSlotMilliseconds += elapsed * Math.max(0, Math.min(idleSlots, totalWaiting));
        busySlotMilliseconds += elapsed * totalRunning;
        fairness.advance(elapsed);
    }
}
