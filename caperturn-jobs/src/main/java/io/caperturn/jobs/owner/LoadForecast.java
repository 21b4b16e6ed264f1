package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.ProcessRole;

/**
 * Forecast of the time to completion of a new job, from the load that sidecars report and the tasks that wait at this
 * entry.
 *
 * <p>After all processes were lost, sidecars return one by one within a second. Until then, the forecast relies on the
 * upstreams recorded in the table of processes: otherwise it would see no load at all, or that of a single upstream.
 */
final class LoadForecast {
    /**
     * Time from the link to a new sidecar until its upstream has announced itself, in milliseconds: one announcement
     * interval.
     */
    private static final long NEW_SIDECAR_MILLISECONDS = 1_500;

    /**
     * Expected time until the first sidecar accepts tasks, in milliseconds: it takes 280 to 680 ms after a loss of all
     * processes.
     */
    private static final long STARTING_MILLISECONDS = 500;

    private final DecisionLoop loop;
    private final TaskDispatcher dispatcher;
    private final ProcessMembership membership;

    LoadForecast(DecisionLoop loop, TaskDispatcher dispatcher, ProcessMembership membership) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.membership = membership;
    }

    /** Returns whether no upstream is available now, but sidecars are likely to be available soon. */
    boolean isStarting(String service) {
        return expectsSidecars()
                && dispatcher.sidecars().stream()
                        .noneMatch(view ->
                                view.isUsable() && view.status().service().equals(service));
    }

    /**
     * Returns whether sidecars are likely to accept tasks soon: this entry has just started, or new sidecars have just
     * linked.
     */
    private boolean expectsSidecars() {
        return loop.monotonicMilliseconds() - dispatcher.lastNewSidecarAt() < NEW_SIDECAR_MILLISECONDS;
    }

    /**
     * Predicts the time to completion of a new job, in milliseconds; {@link Long#MAX_VALUE} if no upstream is
     * available.
     */
    long predictCompletion(OwnedJob job, int entryCount) {
        double capacity = 0;
        double work = 0;
        long freeCapacity = 0;
        String service = job.policy().service();
        for (SidecarView view : dispatcher.sidecars()) {
            if (view.isUsable() && view.status().service().equals(service)) {
                capacity += view.status().capacity().processorMillis()
                        * dispatcher.durations().speed(view.node());
                work += view.waitingWork();
                freeCapacity += Math.max(0, view.free().processorMillis());
            }
        }
        long criticalPathMilliseconds = job.plan().criticalPathMilliseconds();
        if (dispatcher.backlog().isEmpty() && freeCapacity > 0) {
            return criticalPathMilliseconds;
        }
        double expectedCapacity = expectsSidecars() ? recordedCapacity(service) : 0;
        if (expectedCapacity > capacity) {
            // The whole backlog counts: tasks that are late by then still occupy capacity once they run. Capacity
            // does not become free evenly but at the completion of runs, on average half a run later; hence the half
            // critical path.
            double totalWork = work + dispatcher.backlog().work() + workOf(job);
            return criticalPathMilliseconds
                    + criticalPathMilliseconds / 2
                    + waitWhileCapacityGrows(totalWork, capacity, expectedCapacity);
        }
        if (capacity == 0) {
            return expectsSidecars() ? STARTING_MILLISECONDS + criticalPathMilliseconds : Long.MAX_VALUE;
        }
        long latestStart = TaskBacklog.latestStart(job.tasks().getFirst(), loop.monotonicMilliseconds());
        // The other entries are assumed to have as much work waiting as this one.
        double workAhead = work + (double) entryCount * dispatcher.backlog().workBefore(latestStart);
        return criticalPathMilliseconds + Math.round((workAhead + workOf(job) / 2.0) / capacity);
    }

    /**
     * Returns the time needed for some work, in milliseconds: with the capacity available now until the expected
     * sidecars accept tasks, and with all expected capacity from then on.
     */
    private static long waitWhileCapacityGrows(double work, double capacity, double expectedCapacity) {
        double remainingWork = work - capacity * STARTING_MILLISECONDS;
        return Math.round(
                remainingWork <= 0 ? work / capacity : STARTING_MILLISECONDS + remainingWork / expectedCapacity);
    }

    /** Returns the estimated work of all tasks of a job, in thousandths of a core times milliseconds. */
    private static long workOf(OwnedJob job) {
        return job.tasks().stream()
                .mapToLong(task ->
                        task.step().need().processorMillis() * task.step().estimatedMilliseconds())
                .sum();
    }

    /** Returns the capacity of all upstreams in the table of processes, in thousandths of a core. */
    private double recordedCapacity(String service) {
        return membership.membersWithRole(ProcessRole.SIDECAR).stream()
                .flatMap(member -> member.upstream().stream())
                .filter(upstream -> upstream.service().equals(service))
                .mapToDouble(upstream -> upstream.capacity().processorMillis())
                .sum();
    }
}
