package io.caperturn.core.schedule;

import io.caperturn.core.model.Limits;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This entry's shares of the limits over time; keeps the sum of the shares in use at all entries within the limit.
 *
 * <p>A smaller share applies immediately. A larger share applies only when every use of the limit that began under an
 * earlier membership (set of live entries) has finished: after the lease plus the usage duration. By the end of the
 * lease, the other entries have learnt of the change or have stopped starting tasks; within the usage duration, what
 * they started finishes. A share whose lease has expired counts as zero, so an entry that was paused cannot start tasks
 * under a share that other entries may hold by now.
 */
final class LimitShareHistory {
    private final Deque<PastShare> history = new ArrayDeque<>();
    private LimitShare current;
    private long leaseExpiresAt = Long.MAX_VALUE;
    private long maximumLeaseNanoseconds;

    LimitShareHistory(LimitShare initial) {
        this.current = initial;
    }

    /** Renews the lease of the current share, or replaces the share by a new one. */
    void confirm(LimitShare share, Instant instant) {
        long now = TimeConversions.toNanoseconds(instant);
        boolean changed = !share.equals(current);
        if (changed) {
            boolean expired = now >= leaseExpiresAt;
            history.addLast(new PastShare(expired ? new LimitShare.None() : current, now));
            current = share;
        }
        if (share instanceof LimitShare.EqualPart part) {
            maximumLeaseNanoseconds =
                    Math.max(maximumLeaseNanoseconds, part.lease().toNanos());
            leaseExpiresAt = now + part.lease().toNanos();
        } else {
            leaseExpiresAt = Long.MAX_VALUE;
        }
    }

    /**
     * Returns how much of a limit this entry may use.
     *
     * @param limit the limit for the whole system
     * @param usageDuration the longest time for which one use counts against the limit
     * @param now the time, in nanoseconds since the epoch
     */
    int of(int limit, Duration usageDuration, long now) {
        if (limit == Limits.UNLIMITED) {
            return limit;
        }
        if (now >= leaseExpiresAt) {
            return 0;
        }
        int share = current.of(limit);
        long overlapNanoseconds = maximumLeaseNanoseconds + usageDuration.toNanos();
        for (PastShare past : history) {
            if (now - past.replacedAt() < overlapNanoseconds) {
                share = Math.min(share, past.share().of(limit));
            }
        }
        return share;
    }

    /** Removes past shares that no longer affect any limit. */
    void removeExpired(Duration longestUsageDuration, long now) {
        long overlapNanoseconds = maximumLeaseNanoseconds + longestUsageDuration.toNanos();
        while (!history.isEmpty() && now - history.peekFirst().replacedAt() >= overlapNanoseconds) {
            history.removeFirst();
        }
    }

    /**
     * Share that a newer one replaced.
     *
     * @param share the share
     * @param replacedAt when it was replaced, in nanoseconds since the epoch
     */
    private record PastShare(LimitShare share, long replacedAt) {}
}
