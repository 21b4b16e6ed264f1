package io.caperturn.jobs.owner;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.function.Predicate;

/**
 * Tasks that wait for free capacity, in the order in which they should start.
 *
 * <p>A task is on time if it can still meet its job's objective, the time within which the job should complete. Tasks
 * that are on time come first, ordered by their latest start: the time by which they have to start to meet the
 * objective. Late tasks follow, because under overload they would take capacity from tasks that are on time. A task so
 * late that no caller waits for it any more is expired: it is ordered among the tasks that are on time, with a latest
 * start a fixed time ahead, so that its wait is bounded.
 *
 * <p>The tasks are kept apart by what they ask of an upstream, because the refusal of one task tells nothing about
 * those that ask for something else.
 */
final class TaskBacklog {
    /** Time from now until the latest start that an expired task is given, in milliseconds. */
    private static final long EXPIRED_TASK_WAIT_MILLISECONDS = 3_000;

    /**
     * Number of tasks with one demand that are offered in a pass although they were refused for reasons of their own;
     * each refusal costs an assessment of all sidecars.
     */
    private static final int MAX_TASK_REFUSALS = 6;

    /** Positions of the waiting tasks by what they asked for when they were added; no set is empty. */
    private final Map<TaskDemand, TreeSet<Position>> positionsByDemand = new HashMap<>();

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
        add(positionOf(task, nextInsertionNumber++, now));
    }

    private static Position positionOf(OwnedTask task, long insertionNumber, long now) {
        return new Position(
                isLate(task, now), latestStart(task, now), task.job().policy().urgency(), insertionNumber, task);
    }

    private void add(Position position) {
        positionsByDemand
                .computeIfAbsent(TaskDemand.of(position.task()), demand -> new TreeSet<>())
                .add(position);
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
        positionsByDemand.forEach((demand, positions) -> copy.positionsByDemand.put(demand, new TreeSet<>(positions)));
        copy.nextInsertionNumber = nextInsertionNumber;
        return copy;
    }

    boolean isEmpty() {
        return positionsByDemand.isEmpty();
    }

    int size() {
        return positionsByDemand.values().stream().mapToInt(TreeSet::size).sum();
    }

    /** Returns whether a task with a selected demand waits. */
    boolean contains(Predicate<TaskDemand> selected) {
        return positionsByDemand.keySet().stream().anyMatch(selected);
    }

    /** Returns the tasks in the order in which they should start. */
    List<OwnedTask> tasks() {
        return positionsByDemand.values().stream()
                .flatMap(TreeSet::stream)
                .sorted()
                .map(Position::task)
                .toList();
    }

    /**
     * Returns the estimated work of the waiting tasks with selected demands, in thousandths of a core times
     * milliseconds.
     */
    long totalWork(Predicate<TaskDemand> selected) {
        return workDueBy(Long.MAX_VALUE, /* lateIncluded= */ true, selected);
    }

    /**
     * Returns the estimated work of the tasks with selected demands whose latest start is a given time or earlier,
     * without late tasks, in thousandths of a core times milliseconds.
     */
    long onTimeWorkDueBy(long latestStart, Predicate<TaskDemand> selected) {
        return workDueBy(latestStart, /* lateIncluded= */ false, selected);
    }

    private long workDueBy(long latestStart, boolean lateIncluded, Predicate<TaskDemand> selected) {
        long work = 0;
        for (Map.Entry<TaskDemand, TreeSet<Position>> entry : positionsByDemand.entrySet()) {
            if (!selected.test(entry.getKey())) {
                continue;
            }
            for (Position position : entry.getValue()) {
                if (position.latestStart() > latestStart || position.late() && !lateIncluded) {
                    break;
                }
                work += position.task().step().resourcesPerTask().processorMillis()
                        * position.task().step().estimatedMilliseconds();
            }
        }
        return work;
    }

    /** Tasks with one demand that are still to be offered in a pass. */
    private static final class Offers {
        private final TaskDemand demand;
        private final Iterator<Position> remaining;
        /** Jobs and steps of which no more tasks can be sent now. */
        private final Set<TaskGroup> refusedSteps = new HashSet<>();

        private int taskRefusals;
        /** Position of the task that is offered next. */
        private Position next;

        Offers(TaskDemand demand, Iterator<Position> remaining) {
            this.demand = demand;
            this.remaining = remaining;
            this.next = remaining.next();
        }

        Position next() {
            return next;
        }

        /** Advances to the next task; returns false if there is none. */
        boolean advance() {
            if (!remaining.hasNext()) {
                return false;
            }
            next = remaining.next();
            return true;
        }

        /** Records a refusal; returns whether further tasks with the same demand may be accepted. */
        boolean recordRefusal(WaitReason reason) {
            return switch (reason.scope()) {
                case DEMAND -> false;
                case STEP -> {
                    refusedSteps.add(TaskGroup.of(next.task()));
                    yield true;
                }
                case TASK -> ++taskRefusals < MAX_TASK_REFUSALS;
            };
        }

        boolean isStepRefused() {
            return !refusedSteps.isEmpty() && refusedSteps.contains(TaskGroup.of(next.task()));
        }
    }

    /** Step of a job. */
    private record TaskGroup(String job, int step) {
        static TaskGroup of(OwnedTask task) {
            return new TaskGroup(task.identity().job(), task.identity().step());
        }
    }

    /**
     * Makes a pass: offers tasks in order to an acceptor, and removes those that it accepts and those that no longer
     * wait. After a refusal, tasks to which its reason applies as well are not offered; all others are. A task whose
     * latest start has passed, or that asks for something else by now, is not offered but moved to its new position.
     *
     * @param acceptor returns where a task is sent, by which it is accepted, or why it has to wait
     * @param now the time of the monotonic clock, in milliseconds
     */
    void offer(Function<OwnedTask, Selection> acceptor, long now) {
        PriorityQueue<Offers> queue =
                new PriorityQueue<>((first, second) -> first.next().compareTo(second.next()));
        positionsByDemand.forEach((demand, positions) -> queue.add(new Offers(demand, positions.iterator())));
        List<Position> moved = new ArrayList<>();
        while (!queue.isEmpty()) {
            Offers offers = queue.poll();
            if (offer(offers, acceptor, now, moved) && offers.advance()) {
                queue.add(offers);
            }
        }
        positionsByDemand.values().removeIf(TreeSet::isEmpty);
        moved.forEach(this::add);
    }

    /** Offers the next task with a demand; returns whether further ones may be accepted. */
    private static boolean offer(
            Offers offers, Function<OwnedTask, Selection> acceptor, long now, List<Position> moved) {
        Position position = offers.next();
        OwnedTask task = position.task();
        boolean overdue = position.latestStart() < now && latestStart(task, now) > position.latestStart();
        if (!task.isIn(OwnedTask.Phase.WAITING) || task.job().finalState() != null) {
            offers.remaining.remove();
        } else if (overdue || !offers.demand.isCurrentOf(task)) {
            offers.remaining.remove();
            moved.add(overdue ? positionOf(task, position.insertionNumber(), now) : position);
        } else if (!offers.isStepRefused()) {
            switch (acceptor.apply(task)) {
                case Selection.Chosen chosen -> offers.remaining.remove();
                case Selection.Waiting waiting -> {
                    return offers.recordRefusal(waiting.reason());
                }
            }
        }
        return true;
    }

    void clear() {
        positionsByDemand.clear();
    }
}
