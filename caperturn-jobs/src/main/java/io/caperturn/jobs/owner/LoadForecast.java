package io.caperturn.jobs.owner;

import io.caperturn.jobs.Loop;

/** Forecast of how long a new job would take, from the load that sidecars tell and the tasks that wait here. */
final class LoadForecast {
    /** Time from the link to a new sidecar until its upstream has announced itself, in milliseconds: one interval. */
    private static final long NEW_SIDECAR_MILLISECONDS = 1_500;

    private final Loop loop;
    private final Dispatcher dispatcher;

    LoadForecast(Loop loop, Dispatcher dispatcher) {
        this.loop = loop;
        this.dispatcher = dispatcher;
    }

    /** Tells whether sidecars are likely to take tasks soon: this entry has just begun, or some have just come. */
    boolean expectsSidecars() {
        return loop.now() - dispatcher.lastNewSidecar() < NEW_SIDECAR_MILLISECONDS;
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
        if (room == 0) {
            return Long.MAX_VALUE;
        }
        long latest = WaitingTasks.latestStart(job.tasks().getFirst(), loop.now());
        double ahead = work + (double) entries * dispatcher.waiting().workBefore(latest);
        long chain = job.plan().chainMilliseconds();
        long own = job.tasks().stream()
                .mapToLong(task ->
                        task.step().need().processorMillis() * task.step().estimatedMilliseconds())
                .sum();
        boolean fits = dispatcher.waiting().isEmpty() && free > 0;
        return chain + (fits ? 0 : Math.round((ahead + own / 2.0) / room));
    }
}
