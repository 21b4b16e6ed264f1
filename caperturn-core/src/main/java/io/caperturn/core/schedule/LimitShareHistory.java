package io.caperturn.core.schedule;

import io.caperturn.core.model.Limits;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This entry's parts of limits over time, such that the parts in use at all entries never exceed the limit in sum.
 *
 * <p>A smaller part applies immediately. A larger part applies only when every use of the limit begun under an earlier
 * membership has finished: after the lease plus the usage duration. Within the lease, the other entries have learnt of
 * the change or have stopped starting tasks; within the usage duration, what they started has finished. A part whose
 * lease has expired counts as zero, so an entry that was paused cannot start tasks under a part that other entries may
 * hold by now.
 */
final class LimitShareHistory {
    private final Deque<PastShare> history = new ArrayDeque<>();
    private LimitShare current;
    private long leaseExpiry = Long.MAX_VALUE;
    private long longestLease;

    LimitShareHistory(LimitShare initial) {
        this.current = initial;
    }

    /** Confirms the current share or replaces it by a new one. */
    void confirm(LimitShare share, Instant instant) {
        long now = TimeConversions.toNanoseconds(instant);
        boolean changed = !share.equals(current);
        if (changed) {
            boolean expired = now >= leaseExpiry;
            history.addLast(new PastShare(expired ? new LimitShare.None() : current, now));
            current = share;
        }
        if (share instanceof LimitShare.EqualPart part) {
            longestLease = Math.max(longestLease, part.lease().toNanos());
            leaseExpiry = now + part.lease().toNanos();
        } else {
            leaseExpiry = Long.MAX_VALUE;
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
        if (now >= leaseExpiry) {
            return 0;
        }
        int share = current.of(limit);
        long overlap = longestLease + usageDuration.toNanos();
        for (PastShare past : history) {
            if (now - past.until() < overlap) {
                share = Math.min(share, past.share().of(limit));
            }
        }
        return share;
    }

    /** Removes past shares that no longer affect any limit. */
    void removeExpired(Duration longestUsageDuration, long now) {
        long overlap = longestLease + longestUsageDuration.toNanos();
        while (!history.isEmpty() && now - history.peekFirst().until() >= overlap) {
            history.removeFirst();
        }
    }

    /**
     * Share that a newer one replaced.
     *
     * @param share the share
     * @param until when it was replaced, in nanoseconds since the epoch
     */
    private record PastShare(LimitShare share, long until) {}
}
