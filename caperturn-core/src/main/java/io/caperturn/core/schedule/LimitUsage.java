package io.caperturn.core.schedule;

import io.caperturn.core.model.Limits;
import java.time.Duration;

/**
 * Use of the limits of one kind of task or one team at this entry (a process that accepts submissions).
 *
 * <p>Limits apply to the whole system; each entry may use a share of them. A larger share applies only when the tasks
 * that other entries started under earlier shares no longer count against the limit. Times of type long are in
 * nanoseconds since the epoch.
 */
final class LimitUsage {
    private static final Duration ONE_SECOND = Duration.ofSeconds(1);

    private final LimitShareHistory shares;
    private final StartRateLimiter recentStarts = new StartRateLimiter();
    private Limits limits;
    private Duration maximumRunTime;
    private int runningTasks;
    private int queuedTasks;

    /** Creates the usage of limits by tasks whose run time is bounded by {@code maximumRunTime}. */
    LimitUsage(LimitShareHistory shares, Limits limits, Duration maximumRunTime) {
        this.shares = shares;
        this.limits = limits;
        this.maximumRunTime = maximumRunTime;
    }

    /**
     * Replaces the limits and raises the maximum run time; a shorter one is ignored, as running tasks may last longer.
     */
    void updateLimits(Limits newLimits, Duration newMaximumRunTime) {
        limits = newLimits;
        if (newMaximumRunTime.compareTo(maximumRunTime) > 0) {
            maximumRunTime = newMaximumRunTime;
        }
    }

    Duration maximumRunTime() {
        return maximumRunTime;
    }

    int queuedTasks() {
        return queuedTasks;
    }

    int runningTasks() {
        return runningTasks;
    }

    /** Returns how many tasks may run at once at this entry. */
    int runningShare(long now) {
        return shares.shareOf(limits.running(), maximumRunTime, now);
    }

    /** Returns how many tasks may wait at this entry; no started task counts against this limit. */
    int queuedShare(long now) {
        return shares.shareOf(limits.queued(), /* usageDuration= */ Duration.ZERO, now);
    }

    /** Returns how many tasks may start per second at this entry. */
    int startRateShare(long now) {
        return shares.shareOf(limits.startsPerSecond(), /* usageDuration= */ ONE_SECOND, now);
    }

    /** Returns whether one more task may start now. */
    boolean isStartAllowed(long now) {
        boolean unlimited = limits.running() == Limits.UNLIMITED && limits.startsPerSecond() == Limits.UNLIMITED;
        return unlimited || runningTasks < runningShare(now) && recentStarts.isStartAllowed(startRateShare(now), now);
    }

    /** Returns how many of the waiting tasks may start now. */
    int countStartable(int waiting, long now) {
        if (!isStartAllowed(now)) {
            return 0;
        }
        return limits.running() == Limits.UNLIMITED ? waiting : Math.min(waiting, runningShare(now) - runningTasks);
    }

    /** Returns whether the limits never allow a task to start, at any entry. */
    boolean forbidsStarts() {
        return limits.running() == 0 || limits.startsPerSecond() == 0;
    }

    /** Returns whether a number of tasks alone exceeds the queue limit of the whole system. */
    boolean exceedsQueueLimit(int tasks) {
        return tasks > limits.queued();
    }

    boolean isIdle(long now) {
        return runningTasks == 0 && queuedTasks == 0 && recentStarts.isEmpty(now);
    }

    void addQueued(int tasks) {
        queuedTasks += tasks;
    }

    void removeQueued(int tasks) {
        queuedTasks -= tasks;
    }

    void recordStart(long now) {
        runningTasks++;
        if (limits.startsPerSecond() != Limits.UNLIMITED) {
            recentStarts.recordStart(now);
        }
    }

    void recordFinish() {
        runningTasks--;
    }
}
