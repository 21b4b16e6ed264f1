package io.caperturn.testkit.process;

import io.caperturn.testkit.upstream.RecordLine;
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
 * What the upstreams recorded of themselves, read from their file.
 *
 * @param lines all lines in their order
 */
public record UpstreamRecords(List<RecordLine> lines) {
    /** Copies the lines. */
    public UpstreamRecords {
        lines = List.copyOf(lines);
    }

    /**
     * Reads a file as it is now.
     *
     * @param file the file; an absent one has no lines
     * @return the records
     */
    public static UpstreamRecords read(Path file) {
        if (!Files.exists(file)) {
            return new UpstreamRecords(List.of());
        }
        try {
            String text = Files.readString(file, StandardCharsets.UTF_8);
            String whole = text.substring(0, text.lastIndexOf('\n') + 1);
            return new UpstreamRecords(whole.lines().map(RecordLine::parse).toList());
        } catch (IOException e) {
            throw new UncheckedIOException("can't read " + file, e);
        }
    }

    /**
     * Counts the starts of each task of a submission.
     *
     * @param submission {@code team/key}
     * @return starts by task id; tasks without any are absent
     */
    public Map<String, Long> startsPerTask(String submission) {
        return starts().stream()
                .filter(line -> line.submission().equals(submission))
                .collect(Collectors.groupingBy(RecordLine::task, TreeMap::new, Collectors.counting()));
    }

    /**
     * Lists what started more than once.
     *
     * @return {@code team/key/task} and its starts, for those with several
     */
    public Map<String, Long> startedTwice() {
        Function<RecordLine, String> identity = line -> line.submission() + "/" + line.task();
        Map<String, Long> counts =
                starts().stream().collect(Collectors.groupingBy(identity, TreeMap::new, Collectors.counting()));
        counts.values().removeIf(count -> count < 2);
        return counts;
    }

    /**
     * Lists all starts.
     *
     * @return the lines of starts
     */
    public List<RecordLine> starts() {
        return of(RecordLine.Event.START);
    }

    /**
     * Lists the starts at an upstream after an instant.
     *
     * @param upstream the upstream's name
     * @param instant the instant
     * @return the lines of starts
     */
    public List<RecordLine> startsAfter(String upstream, Instant instant) {
        return starts().stream()
                .filter(line -> line.upstream().equals(upstream) && line.time() > instant.toEpochMilli())
                .toList();
    }

    /**
     * Lists where a bound of an upstream was passed.
     *
     * @return the lines of violations
     */
    public List<RecordLine> violations() {
        return of(RecordLine.Event.VIOLATION);
    }

    private List<RecordLine> of(RecordLine.Event event) {
        return lines.stream().filter(line -> line.event() == event).toList();
    }
}
