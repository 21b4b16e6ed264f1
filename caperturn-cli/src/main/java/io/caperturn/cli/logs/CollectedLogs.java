package io.caperturn.cli.logs;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Predicate;

/**
 * Log files of entry processes, which accept jobs, and sidecar processes, which pass tasks to upstreams. A file can
 * hold lines of several instances.
 */
final class CollectedLogs {
    private final List<Path> files;
    private final Set<String> instances = new TreeSet<>();

    /**
     * Creates the collection without reading the files.
     *
     * @param files the files; each call of {@link #readLines} reads them again, since they may not fit into memory
     */
    CollectedLogs(List<Path> files) {
        this.files = List.copyOf(files);
    }

    /**
     * Reads the lines that match a filter, sorted by time.
     *
     * @param filter the filter
     * @return the lines, those of equal time in the order of the files
     * @throws IOException if a file can't be read
     */
    List<LogLine> readLines(Predicate<LogLine> filter) throws IOException {
        List<LogLine> found = new ArrayList<>();
        for (Path file : files) {
            // A truncated line may end within a character. This reader replaces malformed input instead of failing.
            try (BufferedReader reader =
                    new BufferedReader(new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    Optional<LogLine> parsed = LogLine.parse(line);
                    parsed.ifPresent(logLine -> instances.add(logLine.instance()));
                    parsed.filter(filter).ifPresent(found::add);
                }
            }
        }
        found.sort(Comparator.comparingLong(LogLine::timeMilliseconds));
        return found;
    }

    /**
     * Returns the instances whose lines have been read.
     *
     * @return the names of the instances, none before the first call of {@link #readLines}
     */
    Set<String> instances() {
        return Set.copyOf(instances);
    }
}
