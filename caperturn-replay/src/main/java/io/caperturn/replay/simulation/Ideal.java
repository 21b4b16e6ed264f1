package io.caperturn.replay.simulation;

import io.caperturn.core.model.Table;
import io.caperturn.replay.Deployment;
import io.caperturn.replay.trace.Trace;
import io.caperturn.replay.trace.TraceEvent;

/** Ideal response time: the longest task at the fastest back end, or the work over all usable slots if that is more. */
final class Ideal {
    private final Table table;
    private final double fastest;
    private final double meanSpeed;
    private final int slots;

    Ideal(Trace.Header header, Deployment.Upstreams upstreams) {
        this.table = header.table();
        this.slots = upstreams.totalSlots();
        double best = 0;
        double sum = 0;
        for (int upstream = 0; upstream < upstreams.number(); upstream++) {
            best = Math.max(best, header.speed(upstream));
            sum += header.speed(upstream);
        }
        this.fastest = best;
        this.meanSpeed = sum / upstreams.number();
    }

    /** Returns the ideal response time in milliseconds. */
    double milliseconds(TraceEvent.Arrival arrival) {
        double work =
                arrival.tasks().stream().mapToDouble(TraceEvent.Task::actual).sum();
        double longest = arrival.tasks().stream()
                .mapToDouble(TraceEvent.Task::actual)
                .max()
                .orElseThrow();
        int limit = Math.min(
                table.kinds().get(arrival.kind()).limits().running(),
                table.teamLimits(arrival.team()).running());
        int usable = Math.max(1, Math.min(slots, limit));
        double rate = usable < slots ? usable * fastest : slots * meanSpeed;
        return Math.max(longest / fastest, work / rate);
    }
}
