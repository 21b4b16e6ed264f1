package io.caperturn.cli.explain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.cli.ExitCode;
import io.caperturn.cli.FakeEntryServer;
import io.caperturn.cli.Main;
import io.caperturn.cli.Terminal;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests the commands {@code explain} and {@code top} against a fake entry process. */
class ExplainAndTopActionTest {
    /** History of a submission as an entry returns it, with a member {@code later} that the command does not know. */
    private static final String HISTORY = """
            {"submission":"lab/k 1","events":[
            {"at":"t0","event":"admitted","kind":"assay","urgency":"URGENT","tasks":2,"later":"unknown member"},
            {"at":"t1","event":"dispatched","task":"a","attempt":"1.1","sidecar":"s1","waitedMilliseconds":4},
            {"at":"t1","event":"dispatched","task":"b","attempt":"1.1","sidecar":"s2","waitedMilliseconds":8},
            {"at":"t2","event":"attempt-ended","task":"a","attempt":"1.1","sidecar":"s1","outcome":"completed",
            "detail":"","elapsedMilliseconds":50},
            {"at":"t3","event":"attempt-ended","task":"b","attempt":"1.1","sidecar":"s2","outcome":"not-started",
            "detail":"leaving","elapsedMilliseconds":2},
            {"at":"t4","event":"answered","result":"DEADLINE","execution":"ran","elapsedMilliseconds":900}]}
            """;

    private static final String STATUS = """
            {"entry":"entry-a","state":"serving","tableVersion":17,"entries":[{"name":"entry-b","tableVersion":16}],
            "sidecars":[{"name":"s1","state":"linked","tableVersion":17,"window":9,
            "upstream":{"name":"u1","kinds":["assay"],"slots":8,"state":"ejected","why":"fails"}}],
            "kinds":[{"kind":"assay","waiting":12}]}
            """;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream messages = new ByteArrayOutputStream();
    private FakeEntryServer entry;

    @BeforeEach
    void startEntry() throws Exception {
        entry = FakeEntryServer.open();
    }

    @AfterEach
    void stopEntry() throws Exception {
        entry.close();
    }

    private ExitCode run(String... arguments) {
        return Main.run(
                arguments, new Terminal(new PrintStream(output), new PrintStream(messages), /* interactive= */ false));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "submission lab/k 1: 2 tasks of kind assay, urgency URGENT",
                "answered after 900 ms: DEADLINE, execution ran",
                "waiting before an attempt: median 4 ms, longest 8 ms",
                "1 tasks completed, 1 tasks dispatched without a result",
                "trouble: t3 attempt-ended task=b attempt=1.1 sidecar=s2 outcome=not-started",
                "sidecar s1: 1 completed"
            })
    void summaryListsAttemptsAndFailures(String expected) {
        entry.setResponse("GET /v1/submissions/lab/k%201", 200, HISTORY);
        assertEquals(ExitCode.DONE, run("explain", "lab/k 1", "--entry", entry.address()));
        assertTrue(output.toString().contains(expected), output.toString());
    }

    @Test
    void eventsOfOneTaskAndOfSubmissionAreShown() {
        entry.setResponse("GET /v1/submissions/lab/k", 200, HISTORY);
        assertEquals(ExitCode.DONE, run("explain", "lab/k", "--task", "b", "--entry", entry.address()));
        // A heading, 2 events of the submission and 2 of the task.
        assertEquals(5, output.toString().lines().count(), output.toString());
    }

    @Test
    void unknownSubmissionFails() {
        assertEquals(ExitCode.FAILED, run("explain", "lab/other", "--entry", entry.address()));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "entry entry-a in : serving, table version 17",
                "entry    entry-b  -                 -       16",
                "sidecar  s1       -                 linked  17",
                "u1        s1       ejected  assay  8      9       -            fails",
                "assay  -        12       -        -"
            })
    void topShowsProcessesUpstreamsAndQueues(String expected) {
        entry.setResponse("GET /v1/status", 200, STATUS);
        assertEquals(ExitCode.DONE, run("top", "--entry", entry.address()));
        assertTrue(output.toString().contains(expected), output.toString());
    }
}
