package io.caperturn.jobs.simulation;

import java.util.PriorityQueue;

/** Clock and timers of a simulation: time passes only from one action to the next. */
final class VirtualTime {
    /** A simulation that takes more than this is caught in a loop. */
    private static final long MOST_ACTIONS = 2_000_000;

    private final PriorityQueue<Due> due = new PriorityQueue<>();
    private long now;
    private long counter;
    private long actions;

    private record Due(long at, long number, Runnable action) implements Comparable<Due> {
        @Override
        public int compareTo(Due other) {
            int order = Long.compare(at, other.at);
            return order == 0 ? Long.compare(number, other.number) : order;
        }
    }

    long now() {
        return now;
    }

    void after(long milliseconds, Runnable action) {
        due.add(new Due(now + Math.max(0, milliseconds), counter++, action));
    }

    /** Lets time pass up to a moment. */
    void runUntil(long moment) {
        while (!due.isEmpty() && due.peek().at() <= moment) {
            Due next = due.poll();
            if (++actions > MOST_ACTIONS) {
                throw new IllegalStateException("more actions than any run needs, at " + now + " ms");
            }
            now = Math.max(now, next.at());
            next.action().run();
        }
        now = Math.max(now, moment);
    }
}
