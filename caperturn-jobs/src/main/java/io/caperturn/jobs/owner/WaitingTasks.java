package io.caperturn.jobs.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Tasks that wait for room, in the order in which they should start.
 *
 * <p>First come those that must start soonest to end in time. A task that can no longer be in time moves back to the
 * place at which it must start to be only late; after that it moves back by a bounded wait each time.
 */
final class WaitingTasks {
    /** How far a task that nobody waits for any more moves back, in milliseconds: bounds its wait. */
    private static final long BOUNDED_WAIT_MILLISECONDS = 3_000;

    private final TreeSet<Place> places = new TreeSet<>();
    private long counter;

    /** A task's place in the order. */
    private record Place(long latestStart, int urgency, long number, OwnedTask task) implements Comparable<Place> {
        @Override
        public int compareTo(Place other) {
            int order = Long.compare(latestStart, other.latestStart);
            if (order == 0) {
                order = Integer.compare(urgency, other.urgency);
            }
            return order == 0 ? Long.compare(number, other.number) : order;
        }
    }

    void add(OwnedTask task, long now) {
        task.enter(OwnedTask.Phase.WAITING);
        places.add(new Place(latestStart(task, now), task.job().policy().urgency(), counter++, task));
    }

    /** Gives the time at which a task should start at the latest. */
    static long latestStart(OwnedTask task, long now) {
        OwnedJob job = task.job();
        long inTime = job.arrivedAt() + job.objective() - task.step().estimatedMilliseconds();
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

    /** Sums the work of tasks that come before a point of the order, in thousandths of a core times milliseconds. */
    long workBefore(long latestStart) {
        long work = 0;
        for (Place place : places) {
            if (place.latestStart() > latestStart) {
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
                moved.add(new Place(latestStart(task, now), place.urgency(), place.number(), task));
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
