package io.caperturn.cli.logs;

import io.caperturn.jobs.EventKey;
import java.util.Set;
import java.util.TreeSet;

/**
 * Times of one task, from the log lines on its runs.
 *
 * @param task the task as job/repetition/step/index
 * @param placedAt the time at which it was first sent to a sidecar process, in milliseconds since 1970, 0 if unknown
 * @param orderedAt the time at which a sidecar ordered an upstream to start its last run, in milliseconds since 1970, 0
 *     if unknown
 * @param finishedAt the time at which its last run finished, in milliseconds since 1970, 0 if unknown
 * @param expectedMilliseconds the expected duration of its last run, 0 if unknown
 * @param runMilliseconds the duration of its last run
 * @param instances the instances at which it was placed or ran
 * @param jobStartedAt the time of the first log line of the job, in milliseconds since 1970, 0 until it is set
 */
record TaskTimes(
        String task,
        long placedAt,
        long orderedAt,
        long finishedAt,
        long expectedMilliseconds,
        long runMilliseconds,
        Set<String> instances,
        long jobStartedAt) {
    /** Returns the times that one line holds; all others are unknown. */
    static TaskTimes of(String task, LogLine line) {
        TaskTimes withoutTimes = new TaskTimes(task, 0, 0, 0, 0, 0, Set.of(), /* jobStartedAt= */ 0);
        return switch (line.event()) {
            case PLACED ->
                new TaskTimes(
                        task,
                        /* placedAt= */ line.timeMilliseconds(),
                        0,
                        0,
                        line.numberOf(EventKey.EXPECTED),
                        0,
                        Set.of(line.textOf(EventKey.NODE)),
                        0);
            case RUN_ORDERED ->
                new TaskTimes(task, 0, /* orderedAt= */ line.timeMilliseconds(), 0, 0, 0, Set.of(line.instance()), 0);
            case ENDED ->
                new TaskTimes(
                        task,
                        0,
                        0,
                        /* finishedAt= */ line.timeMilliseconds(),
                        0,
                        line.numberOf(EventKey.RAN),
                        Set.of(line.instance()),
                        0);
            default -> withoutTimes;
        };
    }

    /** Returns these times, updated with those of a later line. */
    TaskTimes merge(TaskTimes later) {
        Set<String> allInstances = new TreeSet<>(instances);
        allInstances.addAll(later.instances);
        return new TaskTimes(
                task,
                placedAt == 0 ? later.placedAt : placedAt,
                later.orderedAt == 0 ? orderedAt : later.orderedAt,
                later.finishedAt == 0 ? finishedAt : later.finishedAt,
                later.expectedMilliseconds == 0 ? expectedMilliseconds : later.expectedMilliseconds,
                later.finishedAt == 0 ? runMilliseconds : later.runMilliseconds,
                allInstances,
                jobStartedAt);
    }

    /** Returns these times with the start of the job. */
    TaskTimes withJobStart(long jobStart) {
        return new TaskTimes(
                task, placedAt, orderedAt, finishedAt, expectedMilliseconds, runMilliseconds, instances, jobStart);
    }

    boolean isFinished() {
        return finishedAt > 0;
    }

    /** Returns a description in one line. */
    String describe() {
        StringBuilder text = new StringBuilder(task.substring(task.indexOf('/') + 1));
        if (placedAt > 0) {
            text.append(" waited ").append(placedAt - jobStartedAt).append(" ms at its entry");
        }
        if (placedAt > 0 && orderedAt > 0) {
            text.append(", was ordered ").append(orderedAt - placedAt).append(" ms after it was first placed");
        }
        text.append(", ran ").append(runMilliseconds).append(" ms");
        if (expectedMilliseconds > 0) {
            text.append(" where ").append(expectedMilliseconds).append(" ms were expected");
        }
        return text.append(", at ").append(String.join(" and ", instances)).toString();
    }
}
