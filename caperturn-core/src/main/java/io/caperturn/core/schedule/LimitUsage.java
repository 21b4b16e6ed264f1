package io.caperturn.core.schedule;

import io.caperturn.core.model.Limits;
import java.time.Duration;

/**
 * Usage of the limits of one kind (a named class of work) or one team at this entry (a process that accepts
 * submissions).
 *
 * <p>Limits apply to the whole system; each entry may use a share of them. A share grows only after every use that
 * began under the earlier shares can have finished, so it depends on how long one use lasts. Times are in nanoseconds
 * since the epoch.
 */
final class LimitUsage {
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final LimitShareHistory shares;
    private final StartRateLimiter recentStarts = new StartRateLimiter();
    private Limits limits;
    private Duration maximumRunTime;
    private int running;
    private int queued;

    /** Creates the usage; tasks run for at most the given maximum run time. */
    LimitUsage(LimitShareHistory shares, Limits limits, Duration maximumRunTime) {
        this.shares = shares;
        this.limits = limits;
        this.maximumRunTime = maximumRunTime;
    }

    /** Replaces the limits; the maximum run time is only ever raised, and a shorter one is ignored. */
    void update(Limits newLimits, Duration newMaximumRunTime) {
        limits = newLimits;
        if (newMaximumRunTime.compareTo(maximumRunTime) > 0) {
            maximumRunTime = newMaximumRunTime;
        }
    }

    Duration maximumRunTime() {
        return maximumRunTime;
    }

    int queued() {
        return queued;
    }

    int running() {
        return running;
    }

    /** Returns how many tasks may run at once at this entry. */
    int runningShare(long now) {
        return shares.of(limits.running(), maximumRunTime, now);
    }

    /** Returns how many tasks may wait at this entry. */
    int queuedShare(long now) {
        return shares.of(limits.queued(), Duration.ZERO, now);
    }

    /** Returns how many tasks may start per second at this entry. */
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

    /** Returns whether the limits of the whole system allow no task to start. */
    boolean forbidsStarts() {
        return limits.running() == 0 || limits.startsPerSecond() == 0;
    }

    /**
     * Returns whether a number of tasks exceeds the queue limit of the whole system even if no other task is queued.
     */
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
