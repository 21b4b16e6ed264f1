package io.caperturn.core.schedule;

import io.caperturn.core.model.KindRow;

/**
 * Scheduling state of one kind of task: use of its limits, learned service times and the back ends (sidecar processes
 * with their upstreams) that serve the kind.
 *
 * <p>Times of type long are in nanoseconds since the epoch.
 */
final class KindState {
    /** Value of {@code unservedSince} while a back end serves the kind. */
    private static final long SERVED = Long.MAX_VALUE;

    private final LimitUsage usage;
    private final ServiceTimeModel serviceTimes;
    private final KindPool pool;
    private final DrainRate drainRate = new DrainRate();
    private KindRow row;
    private int waitingTasks;
    private long unservedSince = SERVED;

    KindState(KindRow row, LimitUsage usage, ServiceTimeModel serviceTimes) {
        this.row = row;
        this.usage = usage;
        this.serviceTimes = serviceTimes;
        this.pool = new KindPool(serviceTimes);
    }

    KindRow row() {
        return row;
    }

    LimitUsage usage() {
        return usage;
    }

    ServiceTimeModel serviceTimes() {
        return serviceTimes;
    }

    KindPool pool() {
        return pool;
    }

    DrainRate drainRate() {
        return drainRate;
    }

    int waitingTasks() {
        return waitingTasks;
    }

    /** Returns how many waiting tasks the kind's limits allow to start now. */
    int countStartable(long now) {
        return usage.countStartable(waitingTasks, now);
    }

    void updateRow(KindRow newRow) {
        row = newRow;
        usage.updateLimits(newRow.limits(), newRow.taskTimeout());
    }

    /** Adds a number of tasks, which may be negative, to the number of waiting tasks. */
    void addWaitingTasks(int tasks) {
        waitingTasks += tasks;
    }

    /**
     * Records whether any back end serves the kind now, and returns for how long none has served it, in nanoseconds.
     */
    long updateUnservedTime(long now) {
        if (pool.servingBackends() > 0) {
            unservedSince = SERVED;
            return 0;
        }
        if (unservedSince == SERVED) {
            unservedSince = now;
        }
        return now - unservedSince;
    }
}
