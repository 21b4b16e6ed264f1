package io.caperturn.testkit.process;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.testkit.Main;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

@Tag("process")
class ProcessHarnessTest {
    private final TestClient client = new TestClient();
    private ProcessHarness harness;

    @BeforeEach
    void start() throws IOException {
        harness = new ProcessHarness(Path.of("target", "processes", "harness"));
    }

    @AfterEach
    void stop() {
        client.close();
        harness.close();
    }

    @Test
    void listeningAddressIsReadFromOutput() throws IOException {
        RunningProcess platform = startPlatform();
        assertTrue(client.exchange("GET", platform.address("http"), "/control", Map.of(), null)
                .isSuccessful());
    }

    @Test
    void terminatedProcessExits() throws IOException {
        RunningProcess platform = startPlatform();
        platform.terminate();
        // The exit status is 128 plus 15, the number of SIGTERM.
        assertEquals(143, platform.awaitExit(Duration.ofSeconds(10)));
    }

    @Test
    void pausedProcessRespondsAfterResume() throws Exception {
        RunningProcess platform = startPlatform();
        HttpClient http = HttpClient.newHttpClient();
        URI uri = platform.address("http").uri("/control");
        platform.pause();
        HttpRequest timedRequest =
                HttpRequest.newBuilder(uri).timeout(Duration.ofMillis(300)).build();
        assertThrows(HttpTimeoutException.class, () -> http.send(timedRequest, HttpResponse.BodyHandlers.ofString()));
        platform.resume();
        HttpRequest request = HttpRequest.newBuilder(uri).build();
        assertEquals(
                200, http.send(request, HttpResponse.BodyHandlers.ofString()).statusCode());
    }

    @Test
    void closeKillsRunningProcesses() throws IOException {
        RunningProcess platform = startPlatform();
        platform.pause();
        harness.close();
        assertFalse(platform.isAlive());
        // stop() closes this one.
        harness = new ProcessHarness(harness.directory());
    }

    @Test
    void earlyExitIsReportedWithOutput() {
        AssertionError failure = assertThrows(
                AssertionError.class,
                () -> harness.start("wrong", Main.class.getName(), List.of("nonsense"), Set.of("http")));
        assertTrue(failure.getMessage().contains("nonsense"), failure.getMessage());
    }

    private RunningProcess startPlatform() throws IOException {
        return harness.start("platform", Main.class.getName(), List.of("platform"), Set.of("http"));
    }
}
