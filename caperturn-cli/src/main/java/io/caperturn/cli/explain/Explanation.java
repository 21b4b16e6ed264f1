package io.caperturn.cli.explain;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * Explanation of a submission as lines of text. An attempt is one dispatch of a task to a sidecar, the process that
 * passes it to an upstream.
 */
final class Explanation {
    private static final String DISPATCHED = "dispatched";
    private static final String ATTEMPT_ENDED = "attempt-ended";
    private static final String COMPLETED = "completed";
    private static final int MAXIMUM_SLOWEST_ATTEMPTS = 3;

    private final SubmissionHistoryResponse history;
    private final List<String> lines = new ArrayList<>();

    private Explanation(SubmissionHistoryResponse history) {
        this.history = history;
    }

    /** Summarizes the submission, with the events of tasks that had a failure and the slowest attempts. */
    static List<String> summary(SubmissionHistoryResponse history) {
        Explanation explanation = new Explanation(history);
        explanation.addSubmissionSummary();
        explanation.addTaskSummary();
        explanation.addSidecarSummary();
        return explanation.lines;
    }

    /** Lists all events, or if {@code task} is not null, those of the task and of the submission as a whole. */
    static List<String> events(SubmissionHistoryResponse history, String task) {
        return history.events().stream()
                .filter(event -> task == null || event.task() == null || task.equals(event.task()))
                .map(Explanation::formatEvent)
                .toList();
    }

    private void addSubmissionSummary() {
        for (SubmissionHistoryResponse.Event event : history.events()) {
            if (event.hasType("admitted")) {
                lines.add("submission " + history.submission() + ": " + event.tasks() + " tasks of kind " + event.kind()
                        + ", urgency " + event.urgency());
            } else if (event.hasType("answered")) {
                lines.add("answered after " + event.elapsedMilliseconds() + " ms: " + event.result() + ", execution "
                        + event.execution());
            }
        }
        if (history.events().stream().noneMatch(event -> event.hasType("answered"))) {
            lines.add("no answer yet");
        }
    }

    private void addTaskSummary() {
        Map<String, List<SubmissionHistoryResponse.Event>> eventsByTask = new LinkedHashMap<>();
        history.events().stream()
                .filter(event -> event.task() != null)
                .forEach(event -> eventsByTask
                        .computeIfAbsent(event.task(), ignored -> new ArrayList<>())
                        .add(event));
        List<Long> waitMilliseconds = sortedValues(DISPATCHED, SubmissionHistoryResponse.Event::waitedMilliseconds);
        if (!waitMilliseconds.isEmpty()) {
            lines.add("waiting before an attempt: median " + median(waitMilliseconds) + " ms, longest "
                    + waitMilliseconds.getLast() + " ms");
        }
        long completedTasks =
                eventsByTask.values().stream().filter(Explanation::isCompleted).count();
        lines.add(completedTasks + " tasks completed, " + (eventsByTask.size() - completedTasks)
                + " tasks dispatched without a result so far");
        eventsByTask.forEach((task, events) -> {
            if (hasFailure(events)) {
                events.forEach(event -> lines.add("trouble: " + formatEvent(event)));
            }
        });
        history.events().stream()
                .filter(event -> event.hasType(ATTEMPT_ENDED) && event.elapsedMilliseconds() != null)
                .sorted((first, second) -> Long.compare(second.elapsedMilliseconds(), first.elapsedMilliseconds()))
                .limit(MAXIMUM_SLOWEST_ATTEMPTS)
                .forEach(event -> lines.add("slowest: " + formatEvent(event)));
    }

    private void addSidecarSummary() {
        Map<String, Map<String, Integer>> outcomeCountsBySidecar = new TreeMap<>();
        history.events().stream()
                .filter(event -> event.hasType(ATTEMPT_ENDED) && event.sidecar() != null)
                .forEach(event -> outcomeCountsBySidecar
                        .computeIfAbsent(event.sidecar(), ignored -> new TreeMap<>())
                        .merge(String.valueOf(event.outcome()), 1, Integer::sum));
        outcomeCountsBySidecar.forEach((sidecar, counts) -> {
            StringBuilder line = new StringBuilder("sidecar ").append(sidecar).append(':');
            counts.forEach((outcome, count) ->
                    line.append(' ').append(count).append(' ').append(outcome));
            lines.add(line.toString());
        });
    }

    private List<Long> sortedValues(
            String type, java.util.function.Function<SubmissionHistoryResponse.Event, Long> value) {
        return history.events().stream()
                .filter(event -> event.hasType(type))
                .map(value)
                .filter(Objects::nonNull)
                .sorted()
                .toList();
    }

    private static long median(List<Long> sorted) {
        return sorted.get((sorted.size() - 1) / 2);
    }

    private static boolean isCompleted(List<SubmissionHistoryResponse.Event> events) {
        return events.stream().anyMatch(event -> event.hasType(ATTEMPT_ENDED) && COMPLETED.equals(event.outcome()));
    }

    private static boolean hasFailure(List<SubmissionHistoryResponse.Event> events) {
        return events.stream()
                .anyMatch(event -> event.hasType("late-report-dropped")
                        || (event.hasType(ATTEMPT_ENDED) && !COMPLETED.equals(event.outcome())));
    }

    private static String formatEvent(SubmissionHistoryResponse.Event event) {
        StringBuilder line =
                new StringBuilder(String.valueOf(event.at())).append(' ').append(event.event());
        appendPair(line, "kind", event.kind());
        appendPair(line, "urgency", event.urgency());
        appendPair(line, "tasks", event.tasks());
        appendPair(line, "task", event.task());
        appendPair(line, "attempt", event.attempt());
        appendPair(line, "sidecar", event.sidecar());
        appendPair(line, "waitedMilliseconds", event.waitedMilliseconds());
        appendPair(line, "waitedOn", event.waitedOn());
        appendPair(line, "outcome", event.outcome());
        appendPair(line, "elapsedMilliseconds", event.elapsedMilliseconds());
        appendPair(line, "result", event.result());
        appendPair(line, "execution", event.execution());
        appendPair(line, "detail", event.detail());
        return line.toString();
    }

    private static void appendPair(StringBuilder line, String name, Object value) {
        if (value != null && !value.toString().isEmpty()) {
            line.append(' ').append(name).append('=').append(value);
        }
    }
}
