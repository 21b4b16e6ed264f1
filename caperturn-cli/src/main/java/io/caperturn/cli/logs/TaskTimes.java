package io.caperturn.cli.logs;

import io.caperturn.jobs.EventKey;
import java.util.Set;
import java.util.TreeSet;

/**
 * Where the time of one task went.
 *
 * @param task the task, as job/occurrence/step/index
 * @param placedAt when it was first sent to a sidecar, in milliseconds since 1970; 0 if that isn't known
 * @param orderedAt when its last run was ordered; 0 if that isn't known
 * @param endedAt when its last run ended; 0 if that isn't known
 * @param expected how long its last run was expected to take, in milliseconds; 0 if that isn't known
 * @param ran how long its last run took, in milliseconds
 * @param places where it was sent
 * @param first when the job's first line was written
 */
record TaskTimes(
        String task,
        long placedAt,
        long orderedAt,
        long endedAt,
        long expected,
        long ran,
        Set<String> places,
        long first) {
    /** Reads what one line tells. */
    static TaskTimes of(String task, LogLine line) {
        TaskTimes nothing = new TaskTimes(task, 0, 0, 0, 0, 0, Set.of(), 0);
        return switch (line.event()) {
            case PLACED ->
                new TaskTimes(
                        task,
                        line.time(),
                        0,
                        0,
                        line.number(EventKey.EXPECTED),
                        0,
                        Set.of(line.text(EventKey.NODE)),
                        0);
            case RUN_ORDERED -> new TaskTimes(task, 0, line.time(), 0, 0, 0, Set.of(line.at()), 0);
            case ENDED -> new TaskTimes(task, 0, 0, line.time(), 0, line.number(EventKey.RAN), Set.of(line.at()), 0);
            default -> nothing;
        };
    }

    /** Adds what a later line tells. */
    TaskTimes and(TaskTimes later) {
        Set<String> all = new TreeSet<>(places);
        all.addAll(later.places);
        return new TaskTimes(
                task,
                placedAt == 0 ? later.placedAt : placedAt,
                later.orderedAt == 0 ? orderedAt : later.orderedAt,
                later.endedAt == 0 ? endedAt : later.endedAt,
                later.expected == 0 ? expected : later.expected,
                later.endedAt == 0 ? ran : later.ran,
                all,
                first);
    }

    /** Counts from the job's first line. */
    TaskTimes since(long start) {
        return new TaskTimes(task, placedAt, orderedAt, endedAt, expected, ran, places, start);
    }

    boolean hasEnded() {
        return endedAt > 0;
    }

    /** Describes it in one line. */
    String describe() {
        StringBuilder text = new StringBuilder(task.substring(task.indexOf('/') + 1));
        if (placedAt > 0) {
            text.append(" waited ").append(placedAt - first).append(" ms at its entry");
        }
        if (placedAt > 0 && orderedAt > 0) {
            text.append(", was ordered ").append(orderedAt - placedAt).append(" ms after it was first placed");
        }
        text.append(", ran ").append(ran).append(" ms");
        if (expected > 0) {
            text.append(" where ").append(expected).append(" ms were expected");
        }
        return text.append(", at ").append(String.join(" and ", places)).toString();
    }
}
