package io.caperturn.jobs.simulation;

import java.util.PriorityQueue;

/** Clock and timers of a simulation: its time, in milliseconds, advances only from one scheduled action to the next. */
public final class VirtualTime {
    /** A simulation with more actions than this is in an endless loop. */
    private static final long MAX_ACTIONS = 2_000_000;

    private final PriorityQueue<ScheduledAction> scheduled = new PriorityQueue<>();
    private long now;
    private long nextNumber;
    private long actionCount;

    /** Action with its time; actions of the same time run in the order of their numbers. */
    private record ScheduledAction(long at, long number, Runnable action) implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            int order = Long.compare(at, other.at);
            return order == 0 ? Long.compare(number, other.number) : order;
        }
    }

    /** Returns the current time, in milliseconds. */
    public long now() {
        return now;
    }

    void after(long milliseconds, Runnable action) {
        scheduled.add(new ScheduledAction(now + Math.max(0, milliseconds), nextNumber++, action));
    }

    /** Runs all actions up to a time, and advances the clock to it. */
    public void runUntil(long until) {
        while (!scheduled.isEmpty() && scheduled.peek().at() <= until) {
            ScheduledAction next = scheduled.poll();
            if (++actionCount > MAX_ACTIONS) {
                throw new IllegalStateException("more actions than any run needs, at " + now + " ms");
            }
            now = Math.max(now, next.at());
            next.action().run();
        }
        now = Math.max(now, until);
    }
}
