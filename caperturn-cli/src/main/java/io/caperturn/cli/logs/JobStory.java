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

/** What logs tell of one job: its outcome, where its time went, what happened around it, and what they don't tell. */
final class JobStory {
    /** Time before and after a job's own lines in which trouble counts as near, in milliseconds. */
    private static final long NEAR_MILLISECONDS = 1_000;
    /** Events that change what a process believes, and so may explain what it did. */
    private static final Set<EventName> TROUBLE = Set.of(
            EventName.START,
            EventName.STOP,
            EventName.RESIGNED,
            EventName.SUSPENDED,
            EventName.MEMBER_SILENT,
            EventName.MEMBER_LOST,
            EventName.OWNER_FENCED,
            EventName.LINK_LOST,
            EventName.STORE_LOST,
            EventName.STORE_REACHED,
            EventName.HOLD_UNANSWERED,
            EventName.EJECTED,
            EventName.UPSTREAM,
            EventName.UPSTREAM_GONE,
            EventName.UPSTREAM_LIFE,
            EventName.CONFIGURED);

    private static final Set<EventName> OMISSIONS = Set.of(EventName.LINES_OMITTED, EventName.LINES_DROPPED);
    private static final Set<EventName> ENDS_AT_ENTRY =
            Set.of(EventName.SHOWN, EventName.REFUSED, EventName.ABANDONED, EventName.UNSERVED, EventName.JOINED);

    private final String job;
    private final List<LogLine> own;
    private final List<LogLine> around;
    private final Set<String> instances;

    private JobStory(String job, List<LogLine> own, List<LogLine> around, Set<String> instances) {
        this.job = job;
        this.own = own;
        this.around = around;
        this.instances = instances;
    }

    /**
     * Reads the story of a job.
     *
     * @param id the job's identity, or that of a request for it
     * @param logs the logs
     * @return the story, or empty if no line speaks of it
     * @throws IOException if a file can't be read
     */
    static Optional<JobStory> of(String id, CollectedLogs logs) throws IOException {
        List<LogLine> named = logs.lines(line -> line.isAbout(id));
        // A request's id is joined to its job's by the line that tells of its arrival.
        String job = named.stream()
                .filter(line -> id.equals(line.text(EventKey.REQUEST)))
                .map(line -> line.text(EventKey.JOB))
                .filter(text -> !text.isEmpty())
                .findFirst()
                .orElse(id);
        List<LogLine> own = job.equals(id) ? named : logs.lines(line -> line.isAbout(job));
        if (own.isEmpty()) {
            return Optional.empty();
        }
        long from = own.getFirst().time() - NEAR_MILLISECONDS;
        long until = own.getLast().time() + NEAR_MILLISECONDS;
        Set<String> involved = new TreeSet<>();
        own.forEach(line -> {
            involved.add(line.at());
            involved.add(line.text(EventKey.NODE));
        });
        List<LogLine> around = logs.lines(line -> line.time() >= from
                && line.time() <= until
                && involved.contains(line.at())
                && (TROUBLE.contains(line.event()) || OMISSIONS.contains(line.event())));
        return Optional.of(new JobStory(job, own, around, logs.instances()));
    }

    /**
     * Tells the story.
     *
     * @return its lines: the outcome, where the time went, each event, trouble nearby, and what is not known
     */
    List<String> tell() {
        List<String> lines = new ArrayList<>();
        lines.add(outcome());
        slowest().ifPresent(task -> lines.add("its last task: " + task.describe()));
        lines.add("");
        own.forEach(line -> lines.add(describe(line)));
        section(lines, "near it, at the instances that took part:", trouble());
        section(lines, "not known:", gaps());
        return lines;
    }

    private static void section(List<String> lines, String title, List<String> body) {
        if (!body.isEmpty()) {
            lines.add("");
            lines.add(title);
            body.forEach(line -> lines.add("  " + line));
        }
    }

    private String describe(LogLine line) {
        StringBuilder text = new StringBuilder();
        text.append(String.format(
                "%+7d ms  %-24s %s",
                line.time() - own.getFirst().time(), line.at(), line.event().label()));
        line.values().forEach((key, value) -> {
            if (!value.equals(job)) {
                text.append(' ').append(key).append('=').append(value.replace(job + "/", ""));
            }
        });
        return text.toString();
    }

    private String outcome() {
        Optional<LogLine> givenUp =
                own.stream().filter(line -> line.is(EventName.ABANDONED)).findFirst();
        if (givenUp.isPresent()) {
            LogLine line = givenUp.get();
            return job + " was given up at " + line.at() + " after " + line.number(EventKey.AFTER) + " ms: "
                    + line.text(EventKey.CAUSE);
        }
        for (LogLine line : own.reversed()) {
            switch (line.event()) {
                case SHOWN -> {
                    return shown(line);
                }
                case REFUSED -> {
                    return job + " was refused at " + line.at() + ": " + line.text(EventKey.REASON)
                            + ", to come back after " + line.number(EventKey.RETRY_AFTER) + " ms";
                }
                case UNSERVED -> {
                    return job + " asks for what is not served";
                }
                default -> {}
            }
        }
        return job + " has no outcome in these logs";
    }

    private String shown(LogLine line) {
        long after = line.number(EventKey.AFTER);
        long objective = line.number(EventKey.OBJECTIVE);
        String late = after > objective
                ? ", late by " + (after - objective) + " ms"
                : ", within its objective of " + objective + " ms";
        return job + " was " + line.text(EventKey.STATE) + " after " + after + " ms at " + line.at() + late;
    }

    /** Gives the task that ended last. */
    private Optional<TaskTimes> slowest() {
        Map<String, TaskTimes> tasks = new TreeMap<>();
        for (LogLine line : own) {
            if (!line.run().isEmpty()) {
                String task = line.run().substring(0, line.run().indexOf('#'));
                tasks.merge(task, TaskTimes.of(task, line), TaskTimes::and);
            }
        }
        long first = own.getFirst().time();
        return tasks.values().stream()
                .filter(TaskTimes::hasEnded)
                .max(Comparator.comparingLong(TaskTimes::endedAt))
                .map(task -> task.since(first));
    }

    private List<String> trouble() {
        return around.stream()
                .filter(line -> TROUBLE.contains(line.event()))
                .map(this::describe)
                .toList();
    }

    private List<String> gaps() {
        List<String> gaps = new ArrayList<>();
        TreeSet<String> missing = new TreeSet<>();
        for (LogLine line : own) {
            if (line.is(EventName.PLACED) && !instances.contains(line.text(EventKey.NODE))) {
                missing.add(line.text(EventKey.NODE));
            }
        }
        missing.forEach(node -> gaps.add("what " + node + " did: its log is not among the files"));
        for (LogLine line : own) {
            if (line.is(EventName.PLACED)
                    && instances.contains(line.text(EventKey.NODE))
                    && own.stream()
                            .noneMatch(other -> other.at().equals(line.text(EventKey.NODE)) && sameRun(line, other))) {
                gaps.add("whether " + line.text(EventKey.NODE) + " got "
                        + line.run().replace(job + "/", ""));
            }
            if (line.is(EventName.RUN_ORDERED) && own.stream().noneMatch(other -> isEndOf(line, other))) {
                gaps.add("how " + line.run().replace(job + "/", "") + " ended at " + line.at());
            }
        }
        if (own.stream().noneMatch(line -> ENDS_AT_ENTRY.contains(line.event()))) {
            gaps.add("what the caller was told: no entry wrote an end");
        }
        around.stream()
                .filter(line -> OMISSIONS.contains(line.event()))
                .forEach(line -> gaps.add(line.number(EventKey.COUNT) + " lines of " + line.text(EventKey.OF) + " that "
                        + line.at() + " left out"));
        return gaps;
    }

    private static boolean sameRun(LogLine one, LogLine other) {
        return one.run().equals(other.run());
    }

    private static boolean isEndOf(LogLine ordered, LogLine other) {
        return sameRun(ordered, other)
                && Set.of(EventName.ENDED, EventName.START_REFUSED, EventName.RUN_MISSING, EventName.RUN_LAPSED)
                        .contains(other.event());
    }
}
