package io.caperturn.core.schedule;

import io.caperturn.core.model.Limits;
import java.time.Duration;

/** What one kind or team uses of its limits at this entry. */
final class LimitUsage {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final LimitShareHistory shares;
    private final StartRate starts = new StartRate();
    private Limits limits;
    private Duration horizon;
    private int running;
    private int queued;

    /** Creates the usage; the horizon is the longest time that a task may run. */
    LimitUsage(LimitShareHistory shares, Limits limits, Duration horizon) {
        this.shares = shares;
        this.limits = limits;
        this.horizon = horizon;
    }

    void change(Limits newer, Duration newerHorizon) {
        limits = newer;
        if (newerHorizon.compareTo(horizon) > 0) {
            horizon = newerHorizon;
        }
    }

    Duration horizon() {
        return horizon;
    }

    int queued() {
        return queued;
    }

    int running() {
        return running;
    }

    int runningShare(long now) {
        return shares.of(limits.running(), horizon, now);
    }

    int queuedShare(long now) {
        return shares.of(limits.queued(), Duration.ZERO, now);
    }

    int rateShare(long now) {
        return shares.of(limits.startsPerSecond(), SECOND, now);
    }

    boolean mayStart(long now) {
        boolean unlimited = limits.running() == Limits.UNLIMITED && limits.startsPerSecond() == Limits.UNLIMITED;
        return unlimited || running < runningShare(now) && starts.allows(rateShare(now), now);
    }

    /** Returns how many of the waiting tasks may start now. */
    int startable(int waiting, long now) {
        if (!mayStart(now)) {
            return 0;
        }
        return limits.running() == Limits.UNLIMITED ? waiting : Math.min(waiting, runningShare(now) - running);
    }

    boolean neverStarts() {
        return limits.running() == 0 || limits.startsPerSecond() == 0;
    }

    boolean neverQueues(int tasks) {
        return tasks > limits.queued();
    }

    boolean isIdle(long now) {
        return running == 0 && queued == 0 && starts.isEmpty(now);
    }

    void queue(int tasks) {
        queued += tasks;
    }

    void unqueue(int tasks) {
        queued -= tasks;
    }

    void started(long now) {
        running++;
        if (limits.startsPerSecond() != Limits.UNLIMITED) {
            starts.started(now);
        }
    }

    void ended() {
        running--;
    }
}
