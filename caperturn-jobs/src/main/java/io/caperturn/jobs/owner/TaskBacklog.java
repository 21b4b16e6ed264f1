package io.caperturn.jobs.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Tasks that wait for free capacity, in the order in which they should start.
 *
 * <p>A task is on time if it can still meet its job's objective, the time within which the job should complete. Tasks
 * that are on time come first, ordered by their latest start: the time by which they have to start to meet the
 * objective. Late tasks follow, because under overload they would take capacity from tasks that are on time. A task so
 * late that no caller waits for it any more is expired: it is ordered among the tasks that are on time, with a latest
 * start a fixed time ahead, so that its wait is bounded.
 */
final class TaskBacklog {
    /** Time from now until the latest start that an expired task is given, in milliseconds. */
    private static final long EXPIRED_TASK_WAIT_MILLISECONDS = 3_000;

    private final TreeSet<Position> positions = new TreeSet<>();
    private long nextInsertionNumber;

    /**
     * Position of a task in the order in which tasks should start.
     *
     * @param late whether the task is late: it can no longer be on time, but a caller still waits for it
     * @param latestStart latest start of the task, in milliseconds of the monotonic clock
     * @param urgency urgency of the job's queue; 0 is the most urgent
     * @param insertionNumber number that increases with each task added, so that equal tasks keep their order
     * @param task the task
     */
    private record Position(boolean late, long latestStart, int urgency, long insertionNumber, OwnedTask task)
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
            return order == 0 ? Long.compare(insertionNumber, other.insertionNumber) : order;
        }
    }

    /** Adds a task, which waits from now on; {@code now} is in milliseconds of the monotonic clock. */
    void add(OwnedTask task, long now) {
        task.setPhase(OwnedTask.Phase.WAITING);
        positions.add(new Position(
                isLate(task, now), latestStart(task, now), task.job().policy().urgency(), nextInsertionNumber++, task));
    }

    /**
     * Returns whether a task is late but not yet expired. The latest start of a late task exceeds the latest start at
     * which it would be on time by exactly the time that its caller waits beyond the objective.
     */
    private static boolean isLate(OwnedTask task, long now) {
        return latestStart(task, now) - latestOnTimeStart(task)
                == (OwnedJob.EXPIRY_FACTOR - 1) * task.job().objectiveMilliseconds();
    }

    /** Returns the latest start with which a task is on time, in milliseconds of the monotonic clock. */
    private static long latestOnTimeStart(OwnedTask task) {
        OwnedJob job = task.job();
        return job.arrivedAt() + job.objectiveMilliseconds() - task.step().estimatedMilliseconds();
    }

    /**
     * Returns the latest start of a task, in milliseconds of the monotonic clock; for a late task, the latest start
     * with which it completes before it expires.
     */
    static long latestStart(OwnedTask task, long now) {
        OwnedJob job = task.job();
        long onTime = latestOnTimeStart(task);
        if (onTime >= now) {
            return onTime;
        }
        long late = onTime + (OwnedJob.EXPIRY_FACTOR - 1) * job.objectiveMilliseconds();
        return late >= now ? late : now + EXPIRED_TASK_WAIT_MILLISECONDS;
    }

    /** Returns a copy with the same tasks, whose changes leave this backlog as it is. */
    TaskBacklog copy() {
        TaskBacklog copy = new TaskBacklog();
        copy.positions.addAll(positions);
        copy.nextInsertionNumber = nextInsertionNumber;
        return copy;
    }

    boolean isEmpty() {
        return positions.isEmpty();
    }

    int size() {
        return positions.size();
    }

    /** Returns the tasks in the order in which they should start. */
    List<OwnedTask> tasks() {
        return positions.stream().map(Position::task).toList();
    }

    /** Returns the estimated work of selected waiting tasks, in thousandths of a core times milliseconds. */
    long totalWork(Predicate<OwnedTask> selected) {
        return positions.stream()
                .filter(position -> selected.test(position.task()))
                .mapToLong(position -> position.task().step().resourcesPerTask().processorMillis()
                        * position.task().step().estimatedMilliseconds())
                .sum();
    }

    /**
     * Returns the estimated work of the selected tasks whose latest start is a given time or earlier, without late
     * tasks, in thousandths of a core times milliseconds.
     */
    long onTimeWorkDueBy(long latestStart, Predicate<OwnedTask> selected) {
        long work = 0;
        for (Position position : positions) {
            if (position.late() || position.latestStart() > latestStart) {
                break;
            }
            if (selected.test(position.task())) {
                work += position.task().step().resourcesPerTask().processorMillis()
                        * position.task().step().estimatedMilliseconds();
            }
        }
        return work;
    }

    /**
     * Offers tasks in order to an acceptor, and removes those that it accepts and those that no longer wait. A task
     * whose latest start has passed is not offered but moved to its new position.
     *
     * @param acceptor returns whether it accepts a task
     * @param setApart whether a task may only be sent to upstreams that other tasks do not use, so that its refusal
     *     says nothing about them; the number of such refusals is limited by itself
     * @param now the time of the monotonic clock, in milliseconds
     * @param maxRefusals number of tasks that the acceptor can refuse before no more are offered
     */
    void offer(Predicate<OwnedTask> acceptor, Predicate<OwnedTask> setApart, long now, int maxRefusals) {
        List<Position> removed = new ArrayList<>();
        List<Position> moved = new ArrayList<>();
        int refusals = 0;
        int setApartRefusals = 0;
        for (Position position : positions) {
            OwnedTask task = position.task();
            if (!task.isIn(OwnedTask.Phase.WAITING) || task.job().finalState() != null) {
                removed.add(position);
            } else if (position.latestStart() < now && latestStart(task, now) > position.latestStart()) {
                removed.add(position);
                moved.add(new Position(
                        isLate(task, now),
                        latestStart(task, now),
                        position.urgency(),
                        position.insertionNumber(),
                        task));
            } else if (setApart.test(task)) {
                if (setApartRefusals < maxRefusals) {
                    if (acceptor.test(task)) {
                        removed.add(position);
                    } else {
                        setApartRefusals++;
                    }
                }
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
