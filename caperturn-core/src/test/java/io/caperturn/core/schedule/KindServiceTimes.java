package io.caperturn.core.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/** Sets the service time of each kind of task in a simulation, and measures the slot time that a kind used. */
final class KindServiceTimes {
    private KindServiceTimes() {}

    /** Adds one back end with a number of slots, and sets the service time of each kind by the kind's name. */
    static void apply(SchedulerSimulation simulation, Map<String, Integer> serviceMilliseconds, int slots) {
        simulation.backend("b", slots, /* window= */ 2 * slots);
        simulation.serviceTimeByKind(kind -> Duration.ofMillis(serviceMilliseconds.get(kind)));
    }

    /** Returns the slot time that a kind used between two times, in seconds. */
    static double slotSeconds(SchedulerSimulation simulation, String kind, Duration from, Duration to) {
        Instant begin = Instant.EPOCH.plus(from);
        Instant end = Instant.EPOCH.plus(to);
        return simulation.history().stream()
                .filter(run -> run.kind().equals(kind))
                .filter(run -> run.start().isBefore(end) && run.end().isAfter(begin))
                .mapToDouble(run -> seconds(later(run.start(), begin), earlier(run.end(), end)))
                .sum();
    }

    private static double seconds(Instant from, Instant to) {
        return Duration.between(from, to).toNanos() / 1e9;
    }

    private static Instant later(Instant one, Instant other) {
        return one.isAfter(other) ? one : other;
    }

    private static Instant earlier(Instant one, Instant other) {
        return one.isBefore(other) ? one : other;
    }
}
