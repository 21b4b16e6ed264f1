package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.ProcessRole;

/**
 * Forecast of how long a new job would take, from the load that sidecars tell and the tasks that wait here.
 *
 * <p>After a loss of all processes sidecars come back one by one, within a second. Until then the forecast counts with
 * the upstreams that the table of processes has on record: else it would see no load at all, or a single upstream's.
 */
final class LoadForecast {
    /** Time from the link to a new sidecar until its upstream has announced itself, in milliseconds: one interval. */
    private static final long NEW_SIDECAR_MILLISECONDS = 1_500;

    /** Time until the first sidecars that are expected take tasks, in milliseconds: 280 to 680 after a loss of all. */
    private static final long STARTING_MILLISECONDS = 500;

    private final DecisionLoop loop;
    private final Dispatcher dispatcher;
    private final Membership membership;

    LoadForecast(DecisionLoop loop, Dispatcher dispatcher, Membership membership) {
        this.loop = loop;
        this.dispatcher = dispatcher;
        this.membership = membership;
    }

    /** Tells whether no upstream can be used now, but sidecars are likely to come soon. */
    boolean isStarting(String service) {
        return expectsSidecars()
                && dispatcher.sidecars().stream()
                        .noneMatch(view ->
                                view.isUsable() && view.status().service().equals(service));
    }

    /** Tells whether sidecars are likely to take tasks soon: this entry has just begun, or some have just come. */
    private boolean expectsSidecars() {
        return loop.monotonicMilliseconds() - dispatcher.lastNewSidecar() < NEW_SIDECAR_MILLISECONDS;
    }

    /** Predicts when a new job's tasks would end, in milliseconds from now. */
    long predictEnd(OwnedJob job, int entries) {
        double room = 0;
        double work = 0;
        long free = 0;
        String service = job.policy().service();
        for (SidecarView view : dispatcher.sidecars()) {
            if (view.isUsable() && view.status().service().equals(service)) {
                room += view.status().capacity().processorMillis()
                        * dispatcher.durations().speed(view.node());
                work += view.waitingWork();
                free += Math.max(0, view.free().processorMillis());
            }
        }
        long chain = job.plan().criticalPathMilliseconds();
        if (dispatcher.waiting().isEmpty() && free > 0) {
            return chain;
        }
        double expectedRoom = expectsSidecars() ? recordedRoom(service) : 0;
        if (expectedRoom > room) {
            // All that waits counts: what is late by then still holds room once it runs. And room does not become free
            // evenly, but at the ends of runs, half a run late on the average.
            double everything = work + dispatcher.waiting().work() + workOf(job);
            return chain + chain / 2 + waitWhileRoomComes(everything, room, expectedRoom);
        }
        if (room == 0) {
            return expectsSidecars() ? STARTING_MILLISECONDS + chain : Long.MAX_VALUE;
        }
        long latest = WaitingTasks.latestStart(job.tasks().getFirst(), loop.monotonicMilliseconds());
        double ahead = work + (double) entries * dispatcher.waiting().workBefore(latest);
        return chain + Math.round((ahead + workOf(job) / 2.0) / room);
    }

    /** Gives the time in which work is done by the room that is here, and later by all that is expected. */
    private static long waitWhileRoomComes(double work, double room, double expectedRoom) {
        double until = work - room * STARTING_MILLISECONDS;
        return Math.round(until <= 0 ? work / room : STARTING_MILLISECONDS + until / expectedRoom);
    }

    private static long workOf(OwnedJob job) {
        return job.tasks().stream()
                .mapToLong(task ->
                        task.step().need().processorMillis() * task.step().estimatedMilliseconds())
                .sum();
    }

    /** Sums the room of all upstreams on record, in thousandths of a core. */
    private double recordedRoom(String service) {
        return membership.of(ProcessRole.SIDECAR).stream()
                .flatMap(member -> member.upstream().stream())
                .filter(upstream -> upstream.service().equals(service))
                .mapToDouble(upstream -> upstream.capacity().processorMillis())
                .sum();
    }
}
