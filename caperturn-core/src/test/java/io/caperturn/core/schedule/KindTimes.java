package io.caperturn.core.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;

/** Service times that depend on the kind, and the slot time that came of them. */
final class KindTimes {
    private KindTimes() {}

    /** Lets one back end with the given number of slots serve each kind in its own time. */
    static void apply(SchedulerBench bench, Map<String, Integer> milliseconds, int slots) {
        bench.backend("b", slots, 2 * slots);
        bench.serviceByKind(kind -> Duration.ofMillis(milliseconds.get(kind)));
    }

    /** Returns the slot time that a kind had between two times, in seconds. */
    static double slotSeconds(SchedulerBench bench, String kind, Duration from, Duration to) {
        Instant begin = Instant.EPOCH.plus(from);
        Instant end = Instant.EPOCH.plus(to);
        return bench.history().stream()
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
