package io.caperturn.jobs.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Tasks that wait for free capacity, in the order in which they should start.
 *
 * <p>Tasks that can still meet the objective of their job come first, in the order of their latest start. Tasks that
 * can only be late come after them: under overload they would take capacity from those that can be on time. A task that
 * is too late for any caller to wait for it is placed among the tasks that can be on time, with a latest start a fixed
 * time ahead, so that it does not wait for ever.
 */
final class TaskBacklog {
    /**
     * Time until the latest start given to a task for which no caller waits any more, in milliseconds: bounds its wait.
     */
    private static final long BOUNDED_WAIT_MILLISECONDS = 3_000;

    private final TreeSet<Position> positions = new TreeSet<>();
    private long nextNumber;

    /**
     * Position of a task in the order.
     *
     * @param late whether the task can only be late
     * @param latestStart latest start of the task, in milliseconds of the monotonic clock
     * @param urgency urgency of its queue; 0 is the most urgent
     * @param number number that keeps the order in which tasks were added
     * @param task the task
     */
    private record Position(boolean late, long latestStart, int urgency, long number, OwnedTask task)
            implements Comparable<Position> {
        @Override
        public int compareTo(Position other) {
            int order = Boolean.compare(late, other.late);
            if (order == 0) {
                order = Long.compare(latestStart, other.latestStart);
            }
            if (order == 0) {
                order = Integer.compare(urgency, other.urgency);
            }
            return order == 0 ? Long.compare(number, other.number) : order;
        }
    }

    void add(OwnedTask task, long now) {
        task.setPhase(OwnedTask.Phase.WAITING);
        positions.add(new Position(
                isLate(task, now), latestStart(task, now), task.job().policy().urgency(), nextNumber++, task));
    }

    /** Returns whether a task can no longer be on time, but can still complete within {@link OwnedJob#LATE_FACTOR}. */
    private static boolean isLate(OwnedTask task, long now) {
        return latestStart(task, now) - latestOnTimeStart(task)
                == (OwnedJob.LATE_FACTOR - 1) * task.job().objectiveMilliseconds();
    }

    private static long latestOnTimeStart(OwnedTask task) {
        OwnedJob job = task.job();
        return job.arrivedAt() + job.objectiveMilliseconds() - task.step().estimatedMilliseconds();
    }

    /** Returns the latest time at which a task should start, in milliseconds of the monotonic clock. */
    static long latestStart(OwnedTask task, long now) {
        OwnedJob job = task.job();
        long onTime = latestOnTimeStart(task);
        if (onTime >= now) {
            return onTime;
        }
        long late = onTime + (OwnedJob.LATE_FACTOR - 1) * job.objectiveMilliseconds();
        return late >= now ? late : now + BOUNDED_WAIT_MILLISECONDS;
    }

    boolean isEmpty() {
        return positions.isEmpty();
    }

    int size() {
        return positions.size();
    }

    /** Returns the work of all waiting tasks, in thousandths of a core times milliseconds. */
    long work() {
        return positions.stream()
                .mapToLong(position -> position.task().step().need().processorMillis()
                        * position.task().step().estimatedMilliseconds())
                .sum();
    }

    /**
     * Returns the work of the tasks that can be on time and have to start no later than a given time, in thousandths of
     * a core times milliseconds.
     */
    long workBefore(long latestStart) {
        long work = 0;
        for (Position position : positions) {
            if (position.late() || position.latestStart() > latestStart) {
                break;
            }
            work += position.task().step().need().processorMillis()
                    * position.task().step().estimatedMilliseconds();
        }
        return work;
    }

    /**
     * Offers tasks in order, and removes those that are accepted or no longer wait. A task whose latest start has
     * passed is moved to its new position instead.
     *
     * @param acceptor returns whether it accepts a task
     * @param now the time of the monotonic clock, in milliseconds
     * @param maxRefusals number of tasks not accepted after which the offer stops
     */
    void offer(Predicate<OwnedTask> acceptor, long now, int maxRefusals) {
        List<Position> removed = new ArrayList<>();
        List<Position> moved = new ArrayList<>();
        int refusals = 0;
        for (Position position : positions) {
            OwnedTask task = position.task();
            if (!task.isIn(OwnedTask.Phase.WAITING) || task.job().finalState() != null) {
                removed.add(position);
            } else if (position.latestStart() < now && latestStart(task, now) > position.latestStart()) {
                removed.add(position);
                moved.add(new Position(
                        isLate(task, now), latestStart(task, now), position.urgency(), position.number(), task));
            } else if (acceptor.test(task)) {
                removed.add(position);
            } else if (++refusals >= maxRefusals) {
                break;
            }
        }
        removed.forEach(positions::remove);
        positions.addAll(moved);
    }

    void clear() {
        positions.clear();
    }
}
