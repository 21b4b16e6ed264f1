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

/** Logs of several processes in any number of files; a file may hold those of one or of many. */
final class CollectedLogs {
    private final List<Path> files;
    private final Set<String> instances = new TreeSet<>();

    /**
     * Names the files.
     *
     * @param files the files; they are read anew with each question, since they may be large
     */
    CollectedLogs(List<Path> files) {
        this.files = List.copyOf(files);
    }

    /**
     * Gives the lines that fit, in order of time.
     *
     * @param wanted which lines
     * @return the lines; those of one time in the order of their files
     * @throws IOException if a file can't be read
     */
    List<LogLine> lines(Predicate<LogLine> wanted) throws IOException {
        List<LogLine> found = new ArrayList<>();
        for (Path file : files) {
            // A cut-off line may end within a character, which must not stop the reading.
            try (BufferedReader reader =
                    new BufferedReader(new InputStreamReader(Files.newInputStream(file), StandardCharsets.UTF_8))) {
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    Optional<LogLine> parsed = LogLine.parse(line);
                    parsed.ifPresent(known -> instances.add(known.at()));
                    parsed.filter(wanted).ifPresent(found::add);
                }
            }
        }
        found.sort(Comparator.comparingLong(LogLine::time));
        return found;
    }

    /**
     * Gives the instances whose lines have been read.
     *
     * @return their names; none before the first lines were asked for
     */
    Set<String> instances() {
        return Set.copyOf(instances);
    }
}
