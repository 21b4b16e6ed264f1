package io.caperturn.replay.simulation;

import io.caperturn.core.model.Table;
import io.caperturn.replay.Deployment;
import io.caperturn.replay.trace.Trace;
import io.caperturn.replay.trace.TraceEvent;

/**
 * Calculates the ideal response time of a submission: the run time of its longest task at the fastest upstream, or the
 * time to run all its tasks on all slots that the limits allow, whichever is longer.
 */
final class IdealResponseTime {
    private final Table table;
    private final double maximumSpeed;
    private final double meanSpeed;
    private final int slots;

    IdealResponseTime(Trace.Header header, Deployment.Upstreams upstreams) {
        this.table = header.table();
        this.slots = upstreams.totalSlots();
        double maximum = 0;
        double sum = 0;
        for (int upstream = 0; upstream < upstreams.number(); upstream++) {
            maximum = Math.max(maximum, header.speed(upstream));
            sum += header.speed(upstream);
        }
        this.maximumSpeed = maximum;
        this.meanSpeed = sum / upstreams.number();
    }

    /** Returns the ideal response time in milliseconds. */
    double milliseconds(TraceEvent.Arrival arrival) {
        double totalTaskMilliseconds =
                arrival.tasks().stream().mapToDouble(TraceEvent.Task::actual).sum();
        double longestTaskMilliseconds = arrival.tasks().stream()
                .mapToDouble(TraceEvent.Task::actual)
                .max()
                .orElseThrow();
        int runningLimit = Math.min(
                table.kinds().get(arrival.kind()).limits().running(),
                table.teamLimits(arrival.team()).running());
        int usableSlots = Math.max(1, Math.min(slots, runningLimit));
        // Under a limit, all running tasks could be at the fastest upstreams.
        double totalSpeed = usableSlots < slots ? usableSlots * maximumSpeed : slots * meanSpeed;
        return Math.max(longestTaskMilliseconds / maximumSpeed, totalTaskMilliseconds / totalSpeed);
    }
}
