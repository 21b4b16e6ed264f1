package io.caperturn.cli.logs;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.cli.ExitCode;
import io.caperturn.cli.Main;
import io.caperturn.cli.Terminal;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the report of {@code explain --logs} on a job. */
class LogsActionTest {
    /** Log of an entry process; the last line is truncated. */
    private static final String ENTRY_LOG = """
            event=start time=900 at=entry-1 role=entry
            event=received time=999 at=entry-1 request=f00d job=a1 deadline=2000
            event=taken time=1000 at=entry-1 job=a1 queue=assay tasks=2 objective=400
            event=placed time=1002 at=entry-1 run=a1/0/0/0#7 node=side-1 free=9000 statusAge=3 expected=200
            event=placed time=1003 at=entry-1 run=a1/0/0/1#7 node=side-2 free=9000 statusAge=3 expected=200
            event=shown time=1610 at=entry-1 job=a1 queue=assay state=COMPLETED after=610 objective=400
            event=refused time=1700 at=entry-1 job=b2 queue=assay reason=load retryAfter=48 waiting=10
            event=taken time=1800 at=entry-1 job=c3 queue=assay tasks=1 objective=400
            event=taken time=1900 at=entry-1 job=d4 queue=assay tasks=1 objective=300
            event=abandoned time=2800 at=entry-1 job=d4 cause=too-late after=900
            event=shown time=2800 at=entry-1 job=d4 queue=assay state=CANCELLED after=900 objective=300
            event=taken time=5000 at=entry-1 job=a11 queue=assay tasks=1 objective=400
            event=lines-omitted time=1650 at=entry-1 of=placed count=12
            event=cut-o""";
    /** Log of a sidecar process. */
    private static final String SIDECAR_LOG = """
            event=run-ordered time=1004 at=side-1 run=a1/0/0/0#7 upstream=i-1 fence=1000 waited=1 slack=100
            event=ended time=1600 at=side-1 run=a1/0/0/0#7 outcome=DONE number=1 ran=596
            event=hold-unanswered time=1300 at=side-1 missed=1 reason="no answer, \\"late\\""
            event=hold-unanswered time=9300 at=side-1 missed=1 reason=later
            """;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream messages = new ByteArrayOutputStream();

    @TempDir
    private Path folder;

    private Path entryLog;
    private Path sidecarLog;

    @BeforeEach
    void writeLogs() throws IOException {
        entryLog = Files.writeString(folder.resolve("entry.log"), ENTRY_LOG);
        sidecarLog = Files.writeString(folder.resolve("side.log"), SIDECAR_LOG);
    }

    private ExitCode explain(String job, Path... files) {
        List<String> arguments = new ArrayList<>(List.of("explain", job, "--logs"));
        for (Path file : files) {
            arguments.add(file.toString());
        }
        return Main.run(
                arguments.toArray(String[]::new),
                new Terminal(new PrintStream(output), new PrintStream(messages), /* interactive= */ false));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "a1 was COMPLETED after 610 ms at entry-1, late by 210 ms",
                "its last task: 0/0/0 waited 3 ms at its entry, was ordered 2 ms after it was first placed, ran 596 ms"
                        + " where 200 ms were expected, at side-1",
                "entry-1                  taken queue=assay tasks=2 objective=400",
                "hold-unanswered missed=1 reason=no answer, \"late\"",
                "related events at the instances that took part:",
                "what side-2 did: its log is not among the files",
                "12 lines of placed that entry-1 left out"
            })
    void reportShowsOutcomeTimesContextAndUnknowns(String expected) {
        assertEquals(ExitCode.DONE, explain("a1", entryLog, sidecarLog));
        assertTrue(output.toString().contains(expected), output::toString);
    }

    @Test
    void requestIdIsResolvedToJob() {
        assertEquals(ExitCode.DONE, explain("f00d", entryLog, sidecarLog));
        assertTrue(output.toString().startsWith("a1 was COMPLETED after 610 ms"), output::toString);
    }

    @Test
    void linesOfOtherJobsAndOfOtherTimesAreExcluded() {
        explain("a1", entryLog, sidecarLog);
        assertFalse(output.toString().contains("a11"), output::toString);
        assertFalse(output.toString().contains("b2"), output::toString);
        assertFalse(output.toString().contains("reason=later"), output::toString);
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "b2 | b2 was refused at entry-1: load, retry after 48 ms",
                "d4 | d4 was abandoned at entry-1 after 900 ms: too-late",
                "c3 | what the caller was told: no entry logged an outcome"
            })
    void refusedAbandonedAndUnfinishedJobsAreReported(String job, String expected) {
        assertEquals(ExitCode.DONE, explain(job, entryLog, sidecarLog));
        assertTrue(output.toString().contains(expected), output::toString);
    }

    @Test
    void unknownJobFails() {
        assertEquals(ExitCode.FAILED, explain("nobody", entryLog));
        assertTrue(messages.toString().contains("no log line mentions nobody"), messages::toString);
    }

    @Test
    void missingFileIsWrongUsage() {
        assertEquals(ExitCode.WRONG_USAGE, explain("a1", folder.resolve("absent")));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"", "plain text", "event=x", "event=x time=1", "event=x time=a at=b", "event=x time=1 at=\"b"})
    void truncatedOrForeignLineIsIgnored(String line) {
        assertTrue(LogLine.parse(line).isEmpty());
    }
}
