package io.caperturn.proofs.architecture;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.caperturn.jobs.EventName;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

/** Checks that the table of events in {@code docs/OPERATIONS.md} lists exactly the events that processes log. */
class EventTableTest {
    private static final Path OPERATIONS_PAGE = Path.of("..", "docs", "OPERATIONS.md");
    private static final String TABLE_HEADER = "| event | at | tells |";
    private static final Pattern EVENT_NAME = Pattern.compile("`([a-z-]+)`");

    @Test
    void documentedEventsMatchEventNames() throws IOException {
        TreeSet<String> logged =
                Arrays.stream(EventName.values()).map(EventName::label).collect(Collectors.toCollection(TreeSet::new));
        assertEquals(logged, namesInTable(Files.readString(OPERATIONS_PAGE)));
    }

    private static TreeSet<String> namesInTable(String page) {
        TreeSet<String> names = new TreeSet<>();
        page.substring(page.indexOf(TABLE_HEADER))
                .lines()
                .skip(2)
                .takeWhile(line -> line.startsWith("|"))
                .forEach(line -> {
                    Matcher matcher = EVENT_NAME.matcher(line.split("\\|")[1]);
                    while (matcher.find()) {
                        names.add(matcher.group(1));
                    }
                });
        return names;
    }
}
