package io.caperturn.jobs.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Tasks that wait for room, in the order in which they should start.
 *
 * <p>First come tasks that can still be in time, those that must start soonest before the others. Behind them come
 * tasks that can only be late: under overload they would take the room of those that can be in time. A task that is too
 * late for either gets a bounded wait, after which it counts as urgent.
 */
final class WaitingTasks {
    /** How far a task that nobody waits for any more moves back, in milliseconds: bounds its wait. */
    private static final long BOUNDED_WAIT_MILLISECONDS = 3_000;

    private final TreeSet<Place> places = new TreeSet<>();
    private long counter;

    /** A task's place in the order. */
    private record Place(boolean late, long latestStart, int urgency, long number, OwnedTask task)
            implements Comparable<Place> {
        @Override
        public int compareTo(Place other) {
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
        task.enter(OwnedTask.Phase.WAITING);
        places.add(new Place(
                isLate(task, now), latestStart(task, now), task.job().policy().urgency(), counter++, task));
    }

    /** Tells whether a task can no longer be in time, but still end within the multiple that counts as late. */
    private static boolean isLate(OwnedTask task, long now) {
        return latestStart(task, now) - inTimeStart(task)
                == (OwnedJob.LATE_FACTOR - 1) * task.job().objective();
    }

    private static long inTimeStart(OwnedTask task) {
        OwnedJob job = task.job();
        return job.arrivedAt() + job.objective() - task.step().estimatedMilliseconds();
    }

    /** Gives the time at which a task should start at the latest. */
    static long latestStart(OwnedTask task, long now) {
        OwnedJob job = task.job();
        long inTime = inTimeStart(task);
        if (inTime >= now) {
            return inTime;
        }
        long late = inTime + (OwnedJob.LATE_FACTOR - 1) * job.objective();
        return late >= now ? late : now + BOUNDED_WAIT_MILLISECONDS;
    }

    boolean isEmpty() {
        return places.isEmpty();
    }

    int size() {
        return places.size();
    }

    /** Sums the work of all tasks, in thousandths of a core times milliseconds. */
    long work() {
        return places.stream()
                .mapToLong(place -> place.task().step().need().processorMillis()
                        * place.task().step().estimatedMilliseconds())
                .sum();
    }

    /** Sums the work of tasks that come before a point of the order, in thousandths of a core times milliseconds. */
    long workBefore(long latestStart) {
        long work = 0;
        for (Place place : places) {
            if (place.late() || place.latestStart() > latestStart) {
                break;
            }
            work += place.task().step().need().processorMillis()
                    * place.task().step().estimatedMilliseconds();
        }
        return work;
    }

    /** Offers tasks in their order; those that are taken, or no longer wait, leave. */
    void offer(Predicate<OwnedTask> taker, long now, int mostRefusals) {
        List<Place> over = new ArrayList<>();
        List<Place> moved = new ArrayList<>();
        int refusals = 0;
        for (Place place : places) {
            OwnedTask task = place.task();
            if (!task.isIn(OwnedTask.Phase.WAITING) || task.job().wanted() != null) {
                over.add(place);
            } else if (place.latestStart() < now && latestStart(task, now) > place.latestStart()) {
                over.add(place);
                moved.add(new Place(isLate(task, now), latestStart(task, now), place.urgency(), place.number(), task));
            } else if (taker.test(task)) {
                over.add(place);
            } else if (++refusals >= mostRefusals) {
                break;
            }
        }
        over.forEach(places::remove);
        places.addAll(moved);
    }

    void clear() {
        places.clear();
    }
}
