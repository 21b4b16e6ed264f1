package io.caperturn.core.schedule;

import io.caperturn.core.model.KindRow;

/** Scheduling state of one kind of task: limits, learned service times and the back ends that serve the kind. */
final class KindState {
    /** Value of {@code unservedSince} while a back end serves the kind. */
    private static final long NOT_UNSERVED = Long.MAX_VALUE;

    private final LimitUsage usage;
    private final ServiceTimeModel serviceTimes;
    private final KindPool pool;
    private final DrainRate drainRate = new DrainRate();
    private KindRow row;
    private int waitingTasks;
    private long unservedSince = NOT_UNSERVED;

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

    void update(KindRow newRow) {
        row = newRow;
        usage.update(newRow.limits(), newRow.taskTimeout());
    }

    /** Adds to the number of waiting tasks; a negative number is subtracted. */
    void addWaiting(int tasks) {
        waitingTasks += tasks;
    }

    /** Records whether any back end serves the kind now, and returns for how long none has, in nanoseconds. */
    long updateUnservedTime(long now) {
        if (pool.servingBackends() > 0) {
            unservedSince = NOT_UNSERVED;
            return 0;
        }
        if (unservedSince == NOT_UNSERVED) {
            unservedSince = now;
        }
        return now - unservedSince;
    }
}
