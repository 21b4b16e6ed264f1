package io.caperturn.core.schedule;

import io.caperturn.core.model.Limits;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This entry's parts of limits over time, by which the parts in use at all entries never sum to more than the limit.
 *
 * <p>A smaller part binds at once. A larger one may be used only when every start made under an earlier membership has
 * ended: after the lease, by which the other entries have learnt of the change or stopped starting, and after the
 * horizon, by which what they started has ended. A part whose lease was not confirmed counts as nothing, so an entry
 * that was paused starts nothing under a part that others may hold by now.
 */
final class LimitShareHistory {
    private final Deque<Past> history = new ArrayDeque<>();
    private LimitShare current;
    private long leaseEnd = Long.MAX_VALUE;
    private long leaseLength;

    LimitShareHistory(LimitShare initial) {
        this.current = initial;
    }

    /** Confirms the share in force, the same as before or a new one. */
    void confirm(LimitShare share, Instant instant) {
        long now = TimeUnits.nanoseconds(instant);
        boolean changed = !share.equals(current);
        if (changed) {
            boolean lapsed = now >= leaseEnd;
            history.addLast(new Past(lapsed ? new LimitShare.None() : current, now));
            current = share;
        }
        if (share instanceof LimitShare.EqualPart part) {
            leaseLength = Math.max(leaseLength, part.lease().toNanos());
            leaseEnd = now + part.lease().toNanos();
        } else {
            leaseEnd = Long.MAX_VALUE;
        }
    }

    /**
     * Returns how much of a limit this entry may use.
     *
     * @param limit the limit over the whole system
     * @param horizon how long a use of the limit lasts at most
     * @param now the time in nanoseconds
     */
    int of(int limit, Duration horizon, long now) {
        if (limit == Limits.UNLIMITED) {
            return limit;
        }
        if (now >= leaseEnd) {
            return 0;
        }
        int share = current.of(limit);
        long reach = leaseLength + horizon.toNanos();
        for (Past past : history) {
            if (now - past.until() < reach) {
                share = Math.min(share, past.share().of(limit));
            }
        }
        return share;
    }

    /** Drops memberships that ended longer ago than any horizon reaches. */
    void forget(Duration longestHorizon, long now) {
        long reach = leaseLength + longestHorizon.toNanos();
        while (!history.isEmpty() && now - history.peekFirst().until() >= reach) {
            history.removeFirst();
        }
    }

    /**
     * A share that was in force.
     *
     * @param share the share
     * @param until when it was replaced, in nanoseconds
     */
    private record Past(LimitShare share, long until) {}
}
