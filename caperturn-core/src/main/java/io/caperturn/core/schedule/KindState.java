package io.caperturn.core.schedule;

import io.caperturn.core.model.KindRow;

/** What the scheduler knows of one kind of work. */
final class KindState {
    private static final long SERVED = Long.MAX_VALUE;

    private final LimitUsage usage;
    private final SpeedModel speeds;
    private final KindPool pool;
    private final DrainRate drain = new DrainRate();
    private KindRow row;
    private int waiting;
    private long unservedSince = SERVED;

    KindState(KindRow row, LimitUsage usage, SpeedModel speeds) {
        this.row = row;
        this.usage = usage;
        this.speeds = speeds;
        this.pool = new KindPool(speeds);
    }

    KindRow row() {
        return row;
    }

    LimitUsage usage() {
        return usage;
    }

    SpeedModel speeds() {
        return speeds;
    }

    KindPool pool() {
        return pool;
    }

    DrainRate drain() {
        return drain;
    }

    int waiting() {
        return waiting;
    }

    /** Returns how many waiting tasks the kind's limits would let start now. */
    int startable(long now) {
        return usage.startable(waiting, now);
    }

    void change(KindRow newer) {
        row = newer;
        usage.change(newer.limits(), newer.taskTimeout());
    }

    void waits(int tasks) {
        waiting += tasks;
    }

    /** Notes whether any back end serves the kind, and returns how long none has, in nanoseconds. */
    long unservedFor(long now) {
        if (pool.serving() > 0) {
            unservedSince = SERVED;
            return 0;
        }
        if (unservedSince == SERVED) {
            unservedSince = now;
        }
        return now - unservedSince;
    }
}
