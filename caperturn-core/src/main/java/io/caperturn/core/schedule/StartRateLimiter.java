package io.caperturn.core.schedule;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Rate limiter for starts of tasks: allows no more starts in any one second than a limit.
 *
 * <p>Times are in nanoseconds since the epoch.
 */
final class StartRateLimiter {
    private static final long SECOND_NANOSECONDS = 1_000_000_000L;

    private final Deque<Long> starts = new ArrayDeque<>();

    boolean isStartAllowed(int startsPerSecond, long now) {
        removeExpired(now);
        return starts.size() < startsPerSecond;
    }

    boolean isEmpty(long now) {
        removeExpired(now);
        return starts.isEmpty();
    }

    void recordStart(long now) {
        removeExpired(now);
        starts.addLast(now);
    }

    private void removeExpired(long now) {
        while (!starts.isEmpty() && now - starts.peekFirst() >= SECOND_NANOSECONDS) {
            starts.removeFirst();
        }
    }
}
