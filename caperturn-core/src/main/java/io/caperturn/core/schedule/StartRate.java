package io.caperturn.core.schedule;

import java.util.ArrayDeque;
import java.util.Deque;

/** Starts of the last second, by which no window of a second holds more starts than the limit. */
final class StartRate {
    private static final long SECOND_NANOSECONDS = 1_000_000_000L;

    private final Deque<Long> starts = new ArrayDeque<>();

    boolean allows(int startsPerSecond, long now) {
        forget(now);
        return starts.size() < startsPerSecond;
    }

    boolean isEmpty(long now) {
        forget(now);
        return starts.isEmpty();
    }

    void started(long now) {
        forget(now);
        starts.addLast(now);
    }

    private void forget(long now) {
        while (!starts.isEmpty() && now - starts.peekFirst() >= SECOND_NANOSECONDS) {
            starts.removeFirst();
        }
    }
}
