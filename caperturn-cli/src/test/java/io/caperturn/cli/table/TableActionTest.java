package io.caperturn.cli.table;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.cli.ExitCode;
import io.caperturn.cli.FakeEntryServer;
import io.caperturn.cli.Main;
import io.caperturn.cli.Terminal;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the {@code table} commands against a fake entry process. */
class TableActionTest {
    private static final String TABLE = """
            {"version":7,"kinds":[{"kind":"assay","weight":3,"urgency":"URGENT","limits":{"running":8},
            "taskTimeoutMilliseconds":2000,"rowVersion":4}],"teams":[{"team":"lab","limits":{},"rowVersion":2}]}
            """;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream messages = new ByteArrayOutputStream();
    private FakeEntryServer entry;

    @BeforeEach
    void startEntry() throws Exception {
        entry = FakeEntryServer.open();
        entry.setResponse("GET /v1/table", 200, TABLE);
    }

    @AfterEach
    void stopEntry() throws Exception {
        entry.close();
    }

    private ExitCode run(String line) {
        String[] arguments = ("table " + line + " --entry " + entry.address()).split(" ");
        return Main.run(
                arguments, new Terminal(new PrintStream(output), new PrintStream(messages), /* interactive= */ false));
    }

    @Test
    void showPrintsEachRowWithItsVersion() {
        assertEquals(ExitCode.DONE, run("show"));
        assertTrue(output.toString().contains("kinds/assay  3       urgent   8"), output.toString());
    }

    @Test
    void setSendsWholeRowWithStoredVersion() throws IOException {
        entry.setResponse("PUT /v1/table", 200, "{\"version\":8}");
        assertEquals(ExitCode.DONE, run("set --kind assay --weight 5 --author kim --change-id c1"));
        assertTrue(output.toString().contains("~ kinds/assay weight 3 -> 5"), output.toString());
        String expected = """
                {"changeId":"c1","author":"kim","dryRun":false,"edits":[{"kind":{"kind":"assay","weight":5,
                "urgency":"URGENT","taskTimeoutMilliseconds":2000,"limits":{"running":8}},"expectedVersion":4}]}
                """;
        ObjectMapper mapper = new ObjectMapper();
        assertEquals(mapper.readTree(expected), mapper.readTree(entry.lastRequestBody()));
    }

    @Test
    void dryRunReportsThatNothingWasChanged() {
        entry.setResponse("PUT /v1/table", 200, "{\"version\":8}");
        assertEquals(ExitCode.DONE, run("set --team lab --queued 10 --dry-run"));
        assertTrue(output.toString().contains("nothing was changed"), output.toString());
        assertTrue(entry.lastRequestBody().contains("\"dryRun\":true"), entry.lastRequestBody());
    }

    /** An entry process that the status lists without a table version is not counted as a process. */
    @ParameterizedTest
    @CsvSource({"8, DONE, in force at 2 of 2", "7, UNKNOWN, in force at 1 of 2"})
    void waitReportsNumberOfProcessesWithChangeInForce(int sidecarVersion, ExitCode code, String expected) {
        entry.setResponse("PUT /v1/table", 200, "{\"version\":8}");
        entry.setResponse("GET /v1/status", 200, """
                {"entry":"e","tableVersion":8,"entries":[{"name":"unheard"}],
                "sidecars":[{"name":"s","tableVersion":%d}]}
                """.formatted(sidecarVersion));
        assertEquals(code, run("set --kind assay --weight 5 --wait-milliseconds 100"));
        assertTrue(output.toString().contains(expected), output.toString());
    }

    @Test
    void conflictShowsWantedAndStoredValues() {
        entry.setResponse("PUT /v1/table", 412, """
                {"rows":[{"table":"kinds","key":"assay","rowVersion":5,"row":{"kind":"assay","weight":9,
                "urgency":"URGENT","limits":{},"taskTimeoutMilliseconds":2000}}]}
                """);
        assertEquals(ExitCode.REFUSED, run("set --kind assay --weight 5"));
        assertTrue(messages.toString().contains("yours:    weight=5"), messages.toString());
        assertTrue(messages.toString().contains("in force: weight=9"), messages.toString());
    }

    @Test
    void mistakeFoundByTheEntryNamesRowAndColumn() {
        entry.setResponse("PUT /v1/table", 422, """
                {"mistakes":[{"row":"kinds/assay","column":"weight","message":"too much"}]}
                """);
        assertEquals(ExitCode.REFUSED, run("set --kind assay --weight 5"));
        assertTrue(messages.toString().contains("kinds/assay, column weight: too much"), messages.toString());
    }

    @Test
    void unconfirmedChangeIsReportedWithChangeId() {
        entry.setResponse("PUT /v1/table", 504, "{\"execution\":\"may-have-run\"}");
        assertEquals(ExitCode.UNKNOWN, run("set --kind assay --weight 5 --change-id c1"));
        assertTrue(messages.toString().contains("--change-id c1"), messages.toString());
    }

    @Test
    void historyPrintsTheChanges() {
        entry.setResponse("GET /v1/table/history", 200, """
                {"changes":[{"version":7,"changeId":"c0","author":"kim","at":"2026-01-01T00:00:00Z",
                "rows":["kinds/assay"]}]}
                """);
        assertEquals(ExitCode.DONE, run("history"));
        assertTrue(output.toString().contains("kim"), output.toString());
    }

    @Test
    void newRowIsRefusedWithoutCreate() {
        String line = "set --kind asay --weight 5 --urgency urgent --task-timeout-milliseconds 100";
        assertEquals(ExitCode.REFUSED, run(line));
        assertTrue(messages.toString().contains("unknown kind"), messages.toString());
    }
}
