package io.caperturn.core.schedule;

import io.caperturn.core.model.Limits;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Shares of the limits that this entry (a process that accepts submissions) has had over time; keeps the use of each
 * limit by all entries within the limit.
 *
 * <p>A share may be used only until its lease expires, unless it is confirmed again. A smaller share applies
 * immediately. A larger share applies after the lease plus the usage duration. By the end of the lease, every other
 * entry has either received its new share or stopped starting tasks. The usage duration is the maximum time for which a
 * started task counts against the limit; within it, the earlier tasks of those entries finish. A share whose lease has
 * expired counts as zero, so an entry that was paused cannot start tasks under a share that was meanwhile given to
 * other entries.
 */
final class LimitShareHistory {
    private final Deque<PastShare> history = new ArrayDeque<>();
    private LimitShare current;
    private long leaseExpiresAt = Long.MAX_VALUE;
    private long maximumLeaseNanoseconds;

    LimitShareHistory(LimitShare initial) {
        this.current = initial;
    }

    /** Renews the lease of the current share, or replaces the current share by a different one. */
    void confirm(LimitShare share, Instant instant) {
        long now = TimeConversions.toNanoseconds(instant);
        boolean changed = !share.equals(current);
        if (changed) {
            boolean expired = now >= leaseExpiresAt;
            history.addLast(new PastShare(expired ? new LimitShare.None() : current, now));
            current = share;
        }
        if (share instanceof LimitShare.EqualShare equalShare) {
            maximumLeaseNanoseconds =
                    Math.max(maximumLeaseNanoseconds, equalShare.lease().toNanos());
            leaseExpiresAt = now + equalShare.lease().toNanos();
        } else {
            leaseExpiresAt = Long.MAX_VALUE;
        }
    }

    /**
     * Returns how much of a limit this entry may use now.
     *
     * @param limit the limit for the whole system
     * @param usageDuration the usage duration of the limit
     * @param now the time, in nanoseconds since the epoch
     */
    int shareOf(int limit, Duration usageDuration, long now) {
        if (limit == Limits.UNLIMITED) {
            return limit;
        }
        if (now >= leaseExpiresAt) {
            return 0;
        }
        int share = current.shareOf(limit);
        long increaseDelayNanoseconds = maximumLeaseNanoseconds + usageDuration.toNanos();
        for (PastShare past : history) {
            if (now - past.replacedAt() < increaseDelayNanoseconds) {
                share = Math.min(share, past.share().shareOf(limit));
            }
        }
        return share;
    }

    /** Removes past shares that no longer affect any limit. */
    void removeExpired(Duration maximumUsageDuration, long now) {
        long increaseDelayNanoseconds = maximumLeaseNanoseconds + maximumUsageDuration.toNanos();
        while (!history.isEmpty() && now - history.peekFirst().replacedAt() >= increaseDelayNanoseconds) {
            history.removeFirst();
        }
    }

    /**
     * Share that was replaced by another one.
     *
     * @param share the share
     * @param replacedAt when it was replaced, in nanoseconds since the epoch
     */
    private record PastShare(LimitShare share, long replacedAt) {}
}
