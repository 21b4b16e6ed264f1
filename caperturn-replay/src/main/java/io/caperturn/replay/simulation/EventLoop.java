package io.caperturn.replay.simulation;

import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Virtual time: actions run in the order of their times, those of one time in the order in which they were asked. */
final class EventLoop {
    private static final double NANOSECONDS_IN_MILLISECOND = 1e6;

    private final PriorityQueue<Timed> queue =
            new PriorityQueue<>(Comparator.comparingLong(Timed::at).thenComparingLong(Timed::number));
    private long now;
    private long nextNumber;

    Instant now() {
        return Instant.ofEpochSecond(0, now);
    }

    double nowMilliseconds() {
        return now / NANOSECONDS_IN_MILLISECOND;
    }

    void after(double milliseconds, Runnable action) {
        long at = now + Math.max(0, (long) (milliseconds * NANOSECONDS_IN_MILLISECOND));
        queue.add(new Timed(at, nextNumber++, action));
    }

    void at(double milliseconds, Runnable action) {
        after(milliseconds - nowMilliseconds(), action);
    }

    /** Runs the next action, and returns false if there is none. */
    boolean runNext() {
        Timed next = queue.poll();
        if (next == null) {
            return false;
        }
        now = next.at();
        next.action().run();
        return true;
    }

    /**
     * An action and its time.
     *
     * @param at when it runs, in nanoseconds
     * @param number its place among those of the same time
     * @param action what runs
     */
    private record Timed(long at, long number, Runnable action) {}
}
