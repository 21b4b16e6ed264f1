package io.caperturn.testkit.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import io.caperturn.testkit.HostAndPort;
import io.caperturn.testkit.http.StandInHttpServer;
import io.caperturn.testkit.http.TestkitJson;
import io.caperturn.testkit.process.ClientResponse;
import io.caperturn.testkit.process.Conditions;
import io.caperturn.testkit.process.ExecutionRecord;
import io.caperturn.testkit.process.TestClient;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StandInUpstreamTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final TestClient client = new TestClient();
    private final BlockingQueue<JsonNode> announcements = new LinkedBlockingQueue<>();
    private StandInHttpServer sidecar;
    private StandInUpstream upstream;
    private Path recordFile;

    @BeforeEach
    void start(@TempDir Path directory) throws IOException {
        recordFile = directory.resolve("record.jsonl");
        sidecar = new StandInHttpServer(HostAndPort.FREE_LOOPBACK_PORT, exchange -> {
            announcements.add(exchange.body());
            exchange.respond(204);
        });
        // 1 slot, 4 connections and speed 2.
        UpstreamOptions options = new UpstreamOptions(
                "press", List.of("assay"), 1, 4, new UpstreamOptions.Location("w", "r", "z"), 2, recordFile);
        upstream = new StandInUpstream(HostAndPort.FREE_LOOPBACK_PORT, options, sidecar.address(), null);
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        upstream.close();
        sidecar.close();
    }

    /** Status 0 stands for a missing response. */
    @ParameterizedTest
    @CsvSource({"normal, 200, 1", "fail-all, 500, 1", "refuse, 503, 0", "reset, 0, 1"})
    void modeDeterminesStatusAndStarts(String mode, int status, int starts) {
        client.postControl(upstream.address(), Map.of("mode", mode));
        assertEquals(status, runTask("t", 0).status());
        assertEquals(starts, ExecutionRecord.read(recordFile).starts().size());
    }

    @Test
    void deleteAbortsHangingTask() {
        client.postControl(upstream.address(), Map.of("mode", "hang"));
        CompletableFuture<ClientResponse> hanging = CompletableFuture.supplyAsync(() -> runTask("t", 0));
        Conditions.await("a start", TIMEOUT, () -> !upstream.executionRecord().isEmpty());
        // The path names attempt, submission and task.
        assertEquals(
                204,
                client.exchange("DELETE", upstream.address(), "/v1/tasks/1.1/lab/key/t", Map.of(), null)
                        .status());
        assertEquals(410, hanging.join().status());
    }

    @Test
    void runTimeIsDividedBySpeed() {
        runTask("warm-up", 0);
        long milliseconds = runTask("t", 400).duration().toMillis();
        assertTrue(milliseconds >= 200 && milliseconds < 400, () -> "took " + milliseconds);
    }

    @Test
    void resultContainsTaskAttemptAndUpstream() {
        JsonNode result = runTask("t", 0).body();
        assertEquals(
                List.of("t", "1.1", "press"),
                List.of(
                        result.get("task").asText(),
                        result.get("attempt").asText(),
                        result.get("upstream").asText()));
    }

    @Test
    void taskBeyondSlotsIsRecordedAsViolation() {
        CompletableFuture<ClientResponse> first = CompletableFuture.supplyAsync(() -> runTask("a", 2_000));
        Conditions.await("a start", TIMEOUT, () -> !upstream.executionRecord().isEmpty());
        runTask("b", 0);
        assertEquals(1, ExecutionRecord.read(recordFile).violations().size());
        first.join();
    }

    @Test
    void announcesChangedState() {
        client.postControl(upstream.address(), Map.of("state", "leaving"));
        JsonNode leaving = Conditions.awaitValue(
                "an announcement of leaving",
                TIMEOUT,
                () -> Optional.ofNullable(announcements.poll())
                        .filter(node -> node.get("state").asText().equals("leaving")));
        assertEquals(upstream.address().toString(), leaving.get("address").asText());
    }

    private ClientResponse runTask(String taskId, int runMilliseconds) {
        Map<String, String> headers = Map.of(
                "Caperturn-Submission", "lab/key",
                "Caperturn-Task", taskId,
                "Caperturn-Attempt", "1.1",
                "Caperturn-Kind", "assay");
        JsonNode payload = TestkitJson.object().put("runMilliseconds", runMilliseconds);
        return client.exchange("POST", upstream.address(), "/v1/tasks", headers, payload);
    }
}
