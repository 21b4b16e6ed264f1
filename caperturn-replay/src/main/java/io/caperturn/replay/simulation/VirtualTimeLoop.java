package io.caperturn.replay.simulation;

import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Event loop in virtual time: runs actions in the order of their times, and actions with the same time in the order in
 * which they were scheduled.
 */
final class VirtualTimeLoop {
    private static final double NANOSECONDS_IN_MILLISECOND = 1e6;

    private final PriorityQueue<ScheduledAction> queue =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledAction::dueNanoseconds)
                    .thenComparingLong(ScheduledAction::sequenceNumber));
    private long currentNanoseconds;
    private long nextSequenceNumber;

    Instant currentTime() {
        return Instant.ofEpochSecond(0, currentNanoseconds);
    }

    double currentMilliseconds() {
        return currentNanoseconds / NANOSECONDS_IN_MILLISECOND;
    }

    void scheduleAfter(double milliseconds, Runnable action) {
        long dueNanoseconds = currentNanoseconds + Math.max(0, (long) (milliseconds * NANOSECONDS_IN_MILLISECOND));
        queue.add(new ScheduledAction(dueNanoseconds, nextSequenceNumber++, action));
    }

    void scheduleAt(double milliseconds, Runnable action) {
        scheduleAfter(milliseconds - currentMilliseconds(), action);
    }

    /**
     * Advances the time to that of the next action and runs it.
     *
     * @return false if no action is scheduled
     */
    boolean runNext() {
        ScheduledAction next = queue.poll();
        if (next == null) {
            return false;
        }
        currentNanoseconds = next.dueNanoseconds();
        next.action().run();
        return true;
    }

    /**
     * Scheduled action.
     *
     * @param dueNanoseconds the virtual time at which it runs, in nanoseconds
     * @param sequenceNumber the number in the order of scheduling
     * @param action the action
     */
    private record ScheduledAction(long dueNanoseconds, long sequenceNumber, Runnable action) {}
}
