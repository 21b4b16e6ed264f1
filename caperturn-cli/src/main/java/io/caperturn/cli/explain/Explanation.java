package io.caperturn.cli.explain;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/** Explanation of a submission in lines for people. */
final class Explanation {
    private static final String DISPATCHED = "dispatched";
    private static final String ENDED = "attempt-ended";
    private static final String COMPLETED = "completed";
    private static final int SLOWEST_SHOWN = 3;

    private final SubmissionHistory history;
    private final List<String> lines = new ArrayList<>();

    private Explanation(SubmissionHistory history) {
        this.history = history;
    }

    /** Sums the submission up and tells of the tasks that had trouble and of the slowest. */
    static List<String> summary(SubmissionHistory history) {
        Explanation explanation = new Explanation(history);
        explanation.addHead();
        explanation.addTasks();
        explanation.addSidecars();
        return explanation.lines;
    }

    /** Tells every event, or those of one task with those of the whole submission. */
    static List<String> events(SubmissionHistory history, String task) {
        return history.events().stream()
                .filter(event -> task == null || event.task() == null || task.equals(event.task()))
                .map(Explanation::line)
                .toList();
    }

    private void addHead() {
        for (SubmissionHistory.Event event : history.events()) {
            if (event.is("admitted")) {
                lines.add("submission " + history.submission() + ": " + event.tasks() + " tasks of kind " + event.kind()
                        + ", urgency " + event.urgency());
            } else if (event.is("answered")) {
                lines.add("answered after " + event.elapsedMilliseconds() + " ms: " + event.result() + ", execution "
                        + event.execution());
            }
        }
        if (history.events().stream().noneMatch(event -> event.is("answered"))) {
            lines.add("no answer yet");
        }
    }

    private void addTasks() {
        Map<String, List<SubmissionHistory.Event>> tasks = new LinkedHashMap<>();
        history.events().stream()
                .filter(event -> event.task() != null)
                .forEach(event -> tasks.computeIfAbsent(event.task(), ignored -> new ArrayList<>())
                        .add(event));
        List<Long> waits = values(DISPATCHED, SubmissionHistory.Event::waitedMilliseconds);
        if (!waits.isEmpty()) {
            lines.add("waiting before an attempt: median " + median(waits) + " ms, longest " + waits.getLast() + " ms");
        }
        long done = tasks.values().stream().filter(Explanation::isCompleted).count();
        lines.add(done + " tasks completed, " + (tasks.size() - done) + " tasks dispatched without a result so far");
        tasks.forEach((task, events) -> {
            if (hadTrouble(events)) {
                events.forEach(event -> lines.add("trouble: " + line(event)));
            }
        });
        history.events().stream()
                .filter(event -> event.is(ENDED) && event.elapsedMilliseconds() != null)
                .sorted((first, second) -> Long.compare(second.elapsedMilliseconds(), first.elapsedMilliseconds()))
                .limit(SLOWEST_SHOWN)
                .forEach(event -> lines.add("slowest: " + line(event)));
    }

    private void addSidecars() {
        Map<String, Map<String, Integer>> outcomes = new TreeMap<>();
        history.events().stream()
                .filter(event -> event.is(ENDED) && event.sidecar() != null)
                .forEach(event -> outcomes.computeIfAbsent(event.sidecar(), ignored -> new TreeMap<>())
                        .merge(String.valueOf(event.outcome()), 1, Integer::sum));
        outcomes.forEach((sidecar, counts) -> {
            StringBuilder line = new StringBuilder("sidecar ").append(sidecar).append(':');
            counts.forEach((outcome, count) ->
                    line.append(' ').append(count).append(' ').append(outcome));
            lines.add(line.toString());
        });
    }

    private List<Long> values(String event, java.util.function.Function<SubmissionHistory.Event, Long> value) {
        return history.events().stream()
                .filter(found -> found.is(event))
                .map(value)
                .filter(Objects::nonNull)
                .sorted()
                .toList();
    }

    private static long median(List<Long> sorted) {
        return sorted.get((sorted.size() - 1) / 2);
    }

    private static boolean isCompleted(List<SubmissionHistory.Event> events) {
        return events.stream().anyMatch(event -> event.is(ENDED) && COMPLETED.equals(event.outcome()));
    }

    private static boolean hadTrouble(List<SubmissionHistory.Event> events) {
        return events.stream()
                .anyMatch(event ->
                        event.is("late-report-dropped") || (event.is(ENDED) && !COMPLETED.equals(event.outcome())));
    }

    private static String line(SubmissionHistory.Event event) {
        StringBuilder line =
                new StringBuilder(String.valueOf(event.at())).append(' ').append(event.event());
        append(line, "kind", event.kind());
        append(line, "urgency", event.urgency());
        append(line, "tasks", event.tasks());
        append(line, "task", event.task());
        append(line, "attempt", event.attempt());
        append(line, "sidecar", event.sidecar());
        append(line, "waitedMilliseconds", event.waitedMilliseconds());
        append(line, "waitedOn", event.waitedOn());
        append(line, "outcome", event.outcome());
        append(line, "elapsedMilliseconds", event.elapsedMilliseconds());
        append(line, "result", event.result());
        append(line, "execution", event.execution());
        append(line, "detail", event.detail());
        return line.toString();
    }

    private static void append(StringBuilder line, String name, Object value) {
        if (value != null && !value.toString().isEmpty()) {
            line.append(' ').append(name).append('=').append(value);
        }
    }
}
