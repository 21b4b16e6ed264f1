package io.caperturn.testkit.process;

import io.caperturn.testkit.upstream.ExecutionRecordLine;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * Starts and ends of tasks at all upstreams of a cluster, read from the file that they share.
 *
 * @param lines all lines in file order
 */
public record ExecutionRecord(List<ExecutionRecordLine> lines) {
    /** Copies the lines. */
    public ExecutionRecord {
        lines = List.copyOf(lines);
    }

    /**
     * Reads the current content of a file. An incomplete last line is ignored.
     *
     * @param file the file; if it is absent, the record is empty
     * @return the record
     */
    public static ExecutionRecord read(Path file) {
        if (!Files.exists(file)) {
            return new ExecutionRecord(List.of());
        }
        try {
            String text = Files.readString(file, StandardCharsets.UTF_8);
            String completeLines = text.substring(0, text.lastIndexOf('\n') + 1);
            return new ExecutionRecord(
                    completeLines.lines().map(ExecutionRecordLine::parse).toList());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot read " + file, e);
        }
    }

    /**
     * Counts the starts of each task of a submission.
     *
     * @param submission the submission, as {@code team/key}
     * @return the number of starts by task id; tasks that did not start are absent
     */
    public Map<String, Long> countStartsPerTask(String submission) {
        return starts().stream()
                .filter(line -> line.submission().equals(submission))
                .collect(Collectors.groupingBy(ExecutionRecordLine::task, TreeMap::new, Collectors.counting()));
    }

    /**
     * Counts the starts of each task that started more than once.
     *
     * @return the number of starts by {@code team/key/task}
     */
    public Map<String, Long> countRepeatedStarts() {
        Function<ExecutionRecordLine, String> identity = line -> line.submission() + "/" + line.task();
        Map<String, Long> counts =
                starts().stream().collect(Collectors.groupingBy(identity, TreeMap::new, Collectors.counting()));
        counts.values().removeIf(count -> count < 2);
        return counts;
    }

    /**
     * Returns all starts.
     *
     * @return the lines of starts
     */
    public List<ExecutionRecordLine> starts() {
        return linesOf(ExecutionRecordLine.Event.START);
    }

    /**
     * Returns the starts at an upstream after an instant.
     *
     * @param upstream the upstream's name
     * @param instant the instant, exclusive
     * @return the lines of starts
     */
    public List<ExecutionRecordLine> startsAfter(String upstream, Instant instant) {
        return starts().stream()
                .filter(line -> line.upstream().equals(upstream) && line.time() > instant.toEpochMilli())
                .toList();
    }

    /**
     * Returns the starts beyond the maximum number of tasks or connections of an upstream.
     *
     * @return the lines of violations
     */
    public List<ExecutionRecordLine> violations() {
        return linesOf(ExecutionRecordLine.Event.VIOLATION);
    }

    private List<ExecutionRecordLine> linesOf(ExecutionRecordLine.Event event) {
        return lines.stream().filter(line -> line.event() == event).toList();
    }
}
