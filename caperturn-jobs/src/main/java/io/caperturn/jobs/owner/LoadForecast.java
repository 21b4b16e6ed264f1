package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.UpstreamIncarnation;
import io.caperturn.jobs.zone.ZoneEvacuations;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Forecast of the time until a new job completes, from the load that sidecars (processes beside the upstreams that run
 * tasks) report, and the tasks that wait at this entry (process that accepts jobs).
 *
 * <p>After a loss of all processes, sidecars return one by one within a second. Until all have returned, the forecast
 * relies on the upstreams recorded in the table of processes: otherwise it would know of no capacity, or of that of a
 * single upstream.
 *
 * <p>Capacity is in thousandths of a core; work is capacity times estimated duration, in thousandths of a core times
 * milliseconds.
 */
final class LoadForecast {
    /**
     * Maximum time from the connection of a new sidecar until its upstream has announced itself, in milliseconds: one
     * announcement interval.
     */
    private static final long UPSTREAM_ANNOUNCEMENT_WAIT_MILLISECONDS = 1_500;

    /**
     * Expected time until the first sidecar accepts tasks, in milliseconds: it takes 280 to 680 ms after a loss of all
     * processes.
     */
    private static final long EXPECTED_STARTUP_MILLISECONDS = 500;

    private final DecisionLoop loop;
    private final TaskDispatcher dispatcher;
    private final ProcessMembership membership;
    private final ZoneEvacuations evacuations;

    LoadForecast(
            DecisionLoop loop, TaskDispatcher dispatcher, ProcessMembership membership, ZoneEvacuations evacuations) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.membership = membership;
        this.evacuations = evacuations;
    }

    /** Returns whether no upstream of a service (kind) is available now, but some are likely to be available soon. */
    boolean isAwaitingUpstreams(String service) {
        return expectsSidecars(service)
                && dispatcher.sidecars().stream()
                        .noneMatch(view ->
                                view.isUsable() && view.status().service().equals(service));
    }

    /**
     * Returns whether more sidecars of a service are likely to accept tasks soon: this entry has just started, or new
     * sidecars have just connected, unless the zones of all that are recorded are evacuated.
     */
    private boolean expectsSidecars(String service) {
        return loop.monotonicMilliseconds() - dispatcher.lastNewSidecarAt() < UPSTREAM_ANNOUNCEMENT_WAIT_MILLISECONDS
                && !(evacuations.isAnyEvacuated()
                        && recordedUpstreams(service, /* evacuated= */ true)
                                .findAny()
                                .isPresent()
                        && recordedCapacity(service) == 0);
    }

    /**
     * Predicts the time until a new job completes, in milliseconds; {@link Long#MAX_VALUE} if no upstream is available.
     *
     * @param job the job
     * @param entryCount number of entries, each of which sends tasks to the same sidecars
     */
    long predictCompletionMilliseconds(OwnedJob job, int entryCount) {
        double capacity = 0;
        double work = 0;
        long freeCapacity = 0;
        String service = job.policy().service();
        OwnedTask first = job.tasks().getFirst();
        QueueConfinement confinement = dispatcher.confinement();
        boolean confined = confinement.isConfined(first);
        for (SidecarView view : dispatcher.sidecars()) {
            if (view.isUsable() && view.status().service().equals(service) && !confinement.excludes(first, view)) {
                capacity += view.status().capacity().processorMillis()
                        * dispatcher.durations().relativeSpeed(view.node())
                        * ColdSpeed.relativeSpeed(view.coldMilliseconds(loop.monotonicMilliseconds()));
                work += view.waitingWork(loop.monotonicMilliseconds());
                freeCapacity += Math.max(0, view.freeResources().processorMillis());
            }
        }
        long criticalPathMilliseconds = job.plan().criticalPathMilliseconds();
        // Tasks of confined queues and all others use different upstreams, as do tasks of different services.
        Predicate<TaskDemand> sharesUpstreams = demand ->
                demand.queue().service().equals(service) && confinement.isConfined(demand.queue()) == confined;
        Predicate<TaskDemand> competing = demand -> sharesUpstreams.test(demand) && isAnyUpstreamSuitable(demand);
        if (freeCapacity > 0 && !dispatcher.backlog().contains(competing)) {
            return criticalPathMilliseconds;
        }
        boolean expectsSidecars = expectsSidecars(service);
        double expectedCapacity = expectsSidecars ? recordedCapacity(service) : 0;
        if (expectedCapacity > capacity) {
            // The whole backlog counts, because tasks that become late meanwhile still occupy capacity when they run.
            // Half of the critical path is added because capacity becomes free only when runs complete, which is half
            // a run later on average.
            double combinedWork = work + dispatcher.backlog().totalWork(sharesUpstreams) + workOf(job);
            return criticalPathMilliseconds
                    + criticalPathMilliseconds / 2
                    + waitWhileCapacityGrows(combinedWork, capacity, expectedCapacity);
        }
        if (capacity == 0) {
            return expectsSidecars ? EXPECTED_STARTUP_MILLISECONDS + criticalPathMilliseconds : Long.MAX_VALUE;
        }
        long latestStart = TaskBacklog.latestStart(first, loop.monotonicMilliseconds());
        // The other entries are assumed to have as much work waiting as this one; half of the job's own work is added.
        double workAhead = work + (double) entryCount * dispatcher.backlog().onTimeWorkDueBy(latestStart, competing);
        return criticalPathMilliseconds + Math.round((workAhead + workOf(job) / 2.0) / capacity);
    }

    /** Returns whether an upstream that accepts tasks now could run a task with a demand if nothing else ran there. */
    private boolean isAnyUpstreamSuitable(TaskDemand demand) {
        return dispatcher.sidecars().stream().anyMatch(view -> view.isUsable() && demand.fits(view));
    }

    /**
     * Returns the time in which some work is done, in milliseconds: with the present capacity until the expected
     * sidecars accept tasks, and with all expected capacity from then on.
     */
    private static long waitWhileCapacityGrows(double work, double capacity, double expectedCapacity) {
        double remainingWork = work - capacity * EXPECTED_STARTUP_MILLISECONDS;
        return Math.round(
                remainingWork <= 0
                        ? work / capacity
                        : EXPECTED_STARTUP_MILLISECONDS + remainingWork / expectedCapacity);
    }

    /** Returns the estimated work of all tasks of a job, in thousandths of a core times milliseconds. */
    private static long workOf(OwnedJob job) {
        return job.tasks().stream()
                .mapToLong(task -> task.step().resourcesPerTask().processorMillis()
                        * task.step().estimatedMilliseconds())
                .sum();
    }

    /**
     * Returns the capacity of all upstreams of a service in the table of processes whose zones are not evacuated, in
     * thousandths of a core.
     */
    private double recordedCapacity(String service) {
        return recordedUpstreams(service, /* evacuated= */ false)
                .mapToDouble(upstream -> upstream.capacity().processorMillis())
                .sum();
    }

    /** Returns the upstreams of a service in the table of processes, in evacuated zones or in all others. */
    private Stream<UpstreamIncarnation> recordedUpstreams(String service, boolean evacuated) {
        return membership.membersWithRole(ProcessRole.SIDECAR).stream()
                .filter(member -> evacuations.contains(member.zone()) == evacuated)
                .flatMap(member -> member.upstream().stream())
                .filter(upstream -> upstream.service().equals(service));
    }
}
