package io.caperturn.core.schedule;

import io.caperturn.core.model.Limits;
import java.time.Duration;

/** Use that one kind or team makes of its limits at this entry. */
final class LimitUsage {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final LimitShareHistory shares;
    private final StartRateLimiter recentStarts = new StartRateLimiter();
    private Limits limits;
    private Duration longestRun;
    private int running;
    private int queued;

    /** Creates the usage; the longest run is the longest time that a task may run. */
    LimitUsage(LimitShareHistory shares, Limits limits, Duration longestRun) {
        this.shares = shares;
        this.limits = limits;
        this.longestRun = longestRun;
    }

    void update(Limits newLimits, Duration newLongestRun) {
        limits = newLimits;
        if (newLongestRun.compareTo(longestRun) > 0) {
            longestRun = newLongestRun;
        }
    }

    Duration longestRun() {
        return longestRun;
    }

    int queued() {
        return queued;
    }

    int running() {
        return running;
    }

    int runningShare(long now) {
        return shares.of(limits.running(), longestRun, now);
    }

    int queuedShare(long now) {
        return shares.of(limits.queued(), Duration.ZERO, now);
    }

    int startRateShare(long now) {
        return shares.of(limits.startsPerSecond(), SECOND, now);
    }

    boolean mayStart(long now) {
        boolean unlimited = limits.running() == Limits.UNLIMITED && limits.startsPerSecond() == Limits.UNLIMITED;
        return unlimited || running < runningShare(now) && recentStarts.isStartAllowed(startRateShare(now), now);
    }

    /** Returns how many of the waiting tasks may start now. */
    int countStartable(int waiting, long now) {
        if (!mayStart(now)) {
            return 0;
        }
        return limits.running() == Limits.UNLIMITED ? waiting : Math.min(waiting, runningShare(now) - running);
    }

    boolean forbidsStarts() {
        return limits.running() == 0 || limits.startsPerSecond() == 0;
    }

    boolean exceedsQueueLimit(int tasks) {
        return tasks > limits.queued();
    }

    boolean isIdle(long now) {
        return running == 0 && queued == 0 && recentStarts.isEmpty(now);
    }

    void addQueued(int tasks) {
        queued += tasks;
    }

    void removeQueued(int tasks) {
        queued -= tasks;
    }

    void recordStart(long now) {
        running++;
        if (limits.startsPerSecond() != Limits.UNLIMITED) {
            recentStarts.recordStart(now);
        }
    }

    void recordFinish() {
        running--;
    }
}
