package io.caperturn.cli.submit;

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
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the command {@code submit} against a fake entry process. */
class SubmitActionTest {
    private static final String SUBMIT_JOB = "POST /v1/jobs";
    private static final String SUBMIT_REQUEST = "POST /v1/requests";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private final ByteArrayOutputStream messages = new ByteArrayOutputStream();
    private FakeEntryServer entry;

    @TempDir
    private Path directory;

    @BeforeEach
    void startEntry() throws Exception {
        entry = FakeEntryServer.open();
    }

    @AfterEach
    void stopEntry() throws Exception {
        entry.close();
    }

    private ExitCode submit(String options) {
        String commandLine = "submit --entry " + entry.address() + " --key k1 " + options;
        Terminal terminal = new Terminal(new PrintStream(output), new PrintStream(messages), /* interactive= */ false);
        return Main.run(commandLine.split(" "), terminal);
    }

    private void assertSentBody(String expectedWithoutDeadline) throws IOException {
        String sent = entry.lastRequestBody().replaceFirst(",?\"deadlineMilliseconds\":[0-9]+", "");
        assertEquals(MAPPER.readTree(expectedWithoutDeadline), MAPPER.readTree(sent));
    }

    @Test
    void generatedJobHasRequestedTasks() throws IOException {
        entry.setResponse(SUBMIT_JOB, 200, "{\"submission\":\"lab/k1\",\"results\":[{},{}]}");
        assertEquals(ExitCode.DONE, submit("--team lab --kind assay --tasks 2 --run-milliseconds 7"));
        assertSentBody("""
                {"team":"lab","kind":"assay","tasks":[
                {"id":"task-1","estimateMilliseconds":7,"payload":{"runMilliseconds":7}},
                {"id":"task-2","estimateMilliseconds":7,"payload":{"runMilliseconds":7}}]}
                """);
        assertTrue(output.toString().startsWith("event=complete submission=lab/k1"), output.toString());
    }

    @Test
    void nonIdempotentRequestIsMarked() throws IOException {
        entry.setResponse(SUBMIT_REQUEST, 200, "{\"submission\":\"lab/k1\",\"result\":{}}");
        String options = "--team lab --kind certificate --request --non-idempotent --run-milliseconds 0";
        assertEquals(ExitCode.DONE, submit(options));
        assertSentBody(
                "{\"team\":\"lab\",\"kind\":\"certificate\",\"idempotent\":false,\"payload\":{\"runMilliseconds\":0}}");
    }

    @Test
    void optionsOverrideFile() throws IOException {
        Path file = directory.resolve("job.json");
        Files.writeString(file, """
                {"team":"lab","kind":"assay","deadlineMilliseconds":5000,"tasks":[{"id":"a","payload":{}}]}
                """);
        entry.setResponse(SUBMIT_JOB, 200, "{\"results\":[{}]}");
        assertEquals(ExitCode.DONE, submit("--file " + file + " --kind cube --urgency urgent"));
        assertSentBody("""
                {"team":"lab","kind":"cube","tasks":[{"id":"a","payload":{}}],"urgency":"urgent"}
                """);
    }

    @Test
    void outputHoldsOnlyAnswerIfJsonIsRequested() {
        String responseBody = "{\"results\":[{\"task\":\"task-1\",\"result\":{\"value\":1}}]}";
        entry.setResponse(SUBMIT_JOB, 200, responseBody);
        assertEquals(ExitCode.DONE, submit("--team lab --kind assay --tasks 1 --json"));
        assertEquals(responseBody, output.toString().strip());
    }

    /** Tests each outcome; an empty cell is sent as the text "null", which is no known reason or execution. */
    @ParameterizedTest
    @CsvSource({
        "422, unknown-kind, not-run, REFUSED, event=refused",
        "502, task-failed, ran, FAILED, event=failed",
        "504, deadline, may-have-run, FAILED, event=failed",
        "502, , , UNKNOWN, event=unknown"
    })
    void outcomeIsReportedByExitCodeAndEventLine(
            int status, String reason, String execution, ExitCode code, String event) {
        String problem = "{\"reason\":\"" + reason + "\",\"execution\":\"" + execution + "\",\"detail\":\"why not\"}";
        entry.setResponse(SUBMIT_JOB, status, problem);
        assertEquals(code, submit("--team lab --kind assay --tasks 1"));
        assertTrue(messages.toString().contains(event), messages.toString());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {"[] | not a JSON object", "{ | not valid JSON", "{\"kind\":\"assay\"} | needs a team"})
    void invalidFileIsReportedAndNothingIsSent(String text, String expected) throws IOException {
        Path file = directory.resolve("job.json");
        Files.writeString(file, text);
        assertEquals(ExitCode.WRONG_USAGE, submit("--file " + file));
        assertTrue(messages.toString().contains(expected), messages.toString());
        assertEquals("", entry.lastRequestBody());
    }
}
