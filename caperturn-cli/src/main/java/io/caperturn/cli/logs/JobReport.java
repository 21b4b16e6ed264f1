package io.caperturn.cli.logs;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Report on one job from log lines: the outcome, the times of the task that finished last, the events of the job,
 * related events and what is unknown. An entry process accepts the job and places the tasks at sidecar processes. A
 * sidecar orders the upstream to run them. A run is one execution of a task.
 */
final class JobReport {
    /** Related events are reported from this time before the first line of a job until this time after its last. */
    private static final long CONTEXT_MILLISECONDS = 1_000;
    /** Events that change what an instance knows of the system, and so can explain its decisions. */
    private static final Set<EventName> CONTEXT_EVENTS = Set.of(
            EventName.START,
            EventName.STOP,
            EventName.RESIGNED, // an entry that was declared lost gave up its jobs
            EventName.SUSPENDED, // the process did not run for a time
            EventName.MEMBER_SILENT,
            EventName.MEMBER_LOST,
            EventName.OWNER_FENCED, // a sidecar rejects orders from a lost entry
            EventName.LINK_LOST,
            EventName.STORE_LOST,
            EventName.STORE_REACHED,
            EventName.HOLD_UNANSWERED, // an upstream did not answer a request to extend leases
            EventName.EJECTED, // an entry avoids an upstream at which runs failed
            EventName.UPSTREAM,
            EventName.UPSTREAM_CRASHED,
            EventName.UPSTREAM_GONE,
            EventName.UPSTREAM_LIFE, // a sidecar learned which incarnation of its upstream answers
            EventName.CONFIGURED);

    /** Events by which an instance logs that it left out other lines. */
    private static final Set<EventName> OMISSION_EVENTS = Set.of(EventName.LINES_OMITTED, EventName.LINES_DROPPED);

    /** Events by which an entry logs its answer to the caller; that of JOINED is the answer to an earlier request. */
    private static final Set<EventName> OUTCOME_EVENTS =
            Set.of(EventName.SHOWN, EventName.REFUSED, EventName.ABANDONED, EventName.UNSERVED, EventName.JOINED);

    private final String job;
    private final List<LogLine> jobLines;
    private final List<LogLine> contextLines;
    private final Set<String> loggedInstances;

    private JobReport(String job, List<LogLine> jobLines, List<LogLine> contextLines, Set<String> loggedInstances) {
        this.job = job;
        this.jobLines = jobLines;
        this.contextLines = contextLines;
        this.loggedInstances = loggedInstances;
    }

    /**
     * Creates the report on a job.
     *
     * @param id the identity of the job, or that of a request for it
     * @param logs the logs
     * @return the report, or empty if no line mentions the job
     * @throws IOException if a file can't be read
     */
    static Optional<JobReport> of(String id, CollectedLogs logs) throws IOException {
        List<LogLine> matchingLines = logs.readLines(line -> line.isAbout(id));
        // The line on the receipt of a request names both the request and its job.
        String job = matchingLines.stream()
                .filter(line -> id.equals(line.textOf(EventKey.REQUEST)))
                .map(line -> line.textOf(EventKey.JOB))
                .filter(text -> !text.isEmpty())
                .findFirst()
                .orElse(id);
        List<LogLine> jobLines = job.equals(id) ? matchingLines : logs.readLines(line -> line.isAbout(job));
        if (jobLines.isEmpty()) {
            return Optional.empty();
        }
        long contextStart = jobLines.getFirst().timeMilliseconds() - CONTEXT_MILLISECONDS;
        long contextEnd = jobLines.getLast().timeMilliseconds() + CONTEXT_MILLISECONDS;
        Set<String> involvedInstances = new TreeSet<>();
        jobLines.forEach(line -> {
            involvedInstances.add(line.instance());
            // The instance that the event concerns, such as the sidecar at which a task was placed.
            involvedInstances.add(line.textOf(EventKey.NODE));
        });
        List<LogLine> contextLines = logs.readLines(line -> line.timeMilliseconds() >= contextStart
                && line.timeMilliseconds() <= contextEnd
                && involvedInstances.contains(line.instance())
                && (CONTEXT_EVENTS.contains(line.event()) || OMISSION_EVENTS.contains(line.event())));
        return Optional.of(new JobReport(job, jobLines, contextLines, logs.instances()));
    }

    /**
     * Returns the report as text.
     *
     * @return the lines: the outcome, the last task, each event of the job, related events, and what is unknown
     */
    List<String> formatLines() {
        List<String> lines = new ArrayList<>();
        lines.add(describeOutcome());
        findLastFinishedTask().ifPresent(task -> lines.add("its last task: " + task.describe()));
        lines.add("");
        jobLines.forEach(line -> lines.add(formatEvent(line)));
        addSection(lines, "related events at the instances that took part:", describeContext());
        addSection(lines, "not known:", describeUnknowns());
        return lines;
    }

    private static void addSection(List<String> lines, String title, List<String> body) {
        if (!body.isEmpty()) {
            lines.add("");
            lines.add(title);
            body.forEach(line -> lines.add("  " + line));
        }
    }

    private String formatEvent(LogLine line) {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                "%+7d ms  %-24s %s",
                line.timeMilliseconds() - jobLines.getFirst().timeMilliseconds(),
                line.instance(),
                line.event().label()));
        line.values().forEach((key, value) -> {
            if (!value.equals(job)) {
                text.append(' ').append(key).append('=').append(value.replace(job + "/", ""));
            }
        });
        return text.toString();
    }

    private String describeOutcome() {
        // Reported first: the later line on the cancelled state lacks the cause.
        Optional<LogLine> abandonment = jobLines.stream()
                .filter(line -> line.hasEvent(EventName.ABANDONED))
                .findFirst();
        if (abandonment.isPresent()) {
            LogLine line = abandonment.get();
            return job + " was abandoned at " + line.instance() + " after " + line.numberOf(EventKey.AFTER) + " ms: "
                    + line.textOf(EventKey.CAUSE);
        }
        for (LogLine line : jobLines.reversed()) {
            switch (line.event()) {
                case SHOWN -> {
                    return describeFinalState(line);
                }
                case REFUSED -> {
                    return job + " was refused at " + line.instance() + ": " + line.textOf(EventKey.REASON)
                            + ", retry after " + line.numberOf(EventKey.RETRY_AFTER) + " ms";
                }
                case UNSERVED -> {
                    return job + " asks for work that is not served";
                }
                default -> {}
            }
        }
        return job + " has no outcome in these logs";
    }

    /** Describes the final state, and whether the job met its objective: the time within which it should finish. */
    private String describeFinalState(LogLine line) {
        long afterMilliseconds = line.numberOf(EventKey.AFTER);
        long objectiveMilliseconds = line.numberOf(EventKey.OBJECTIVE);
        String lateness = afterMilliseconds > objectiveMilliseconds
                ? ", late by " + (afterMilliseconds - objectiveMilliseconds) + " ms"
                : ", within its objective of " + objectiveMilliseconds + " ms";
        return job + " was " + line.textOf(EventKey.STATE) + " after " + afterMilliseconds + " ms at " + line.instance()
                + lateness;
    }

    /** Returns the task that finished last, if any finished. */
    private Optional<TaskTimes> findLastFinishedTask() {
        Map<String, TaskTimes> tasks = new TreeMap<>();
        for (LogLine line : jobLines) {
            if (!line.run().isEmpty()) {
                String task = line.run().substring(0, line.run().indexOf('#'));
                tasks.merge(task, TaskTimes.of(task, line), TaskTimes::merge);
            }
        }
        long jobStart = jobLines.getFirst().timeMilliseconds();
        return tasks.values().stream()
                .filter(TaskTimes::isFinished)
                .max(Comparator.comparingLong(TaskTimes::finishedAt))
                .map(task -> task.withJobStart(jobStart));
    }

    private List<String> describeContext() {
        return contextLines.stream()
                .filter(line -> CONTEXT_EVENTS.contains(line.event()))
                .map(this::formatEvent)
                .toList();
    }

    private List<String> describeUnknowns() {
        List<String> unknowns = new ArrayList<>();
        TreeSet<String> instancesWithoutLog = new TreeSet<>();
        for (LogLine line : jobLines) {
            if (line.hasEvent(EventName.PLACED) && !loggedInstances.contains(line.textOf(EventKey.NODE))) {
                instancesWithoutLog.add(line.textOf(EventKey.NODE));
            }
        }
        instancesWithoutLog.forEach(node -> unknowns.add("what " + node + " did: its log is not among the files"));
        for (LogLine line : jobLines) {
            if (line.hasEvent(EventName.PLACED)
                    && loggedInstances.contains(line.textOf(EventKey.NODE))
                    && jobLines.stream()
                            .noneMatch(other ->
                                    other.instance().equals(line.textOf(EventKey.NODE)) && isSameRun(line, other))) {
                unknowns.add("whether " + line.textOf(EventKey.NODE) + " received "
                        + line.run().replace(job + "/", ""));
            }
            if (line.hasEvent(EventName.RUN_ORDERED)
                    && jobLines.stream().noneMatch(other -> saysHowRunEnded(line, other))) {
                unknowns.add("how " + line.run().replace(job + "/", "") + " ended at " + line.instance());
            }
        }
        if (jobLines.stream().noneMatch(line -> OUTCOME_EVENTS.contains(line.event()))) {
            unknowns.add("what the caller was told: no entry logged an outcome");
        }
        contextLines.stream()
                .filter(line -> OMISSION_EVENTS.contains(line.event()))
                .forEach(line -> unknowns.add(line.numberOf(EventKey.COUNT) + " lines of " + line.textOf(EventKey.OF)
                        + " that " + line.instance() + " left out"));
        return unknowns;
    }

    private static boolean isSameRun(LogLine one, LogLine other) {
        return one.run().equals(other.run());
    }

    private static boolean saysHowRunEnded(LogLine orderLine, LogLine other) {
        return isSameRun(orderLine, other)
                && Set.of(EventName.ENDED, EventName.START_REFUSED, EventName.RUN_MISSING, EventName.RUN_LAPSED)
                        .contains(other.event());
    }
}
