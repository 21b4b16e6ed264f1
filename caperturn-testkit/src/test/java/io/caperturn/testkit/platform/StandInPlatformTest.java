package io.caperturn.testkit.platform;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.caperturn.testkit.HostAndPort;
import io.caperturn.testkit.http.TestkitJson;
import io.caperturn.testkit.process.ClientResponse;
import io.caperturn.testkit.process.TestClient;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Assertions;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StandInPlatformTest {
    private final TestClient client = new TestClient();
    private StandInPlatform platform;

    @BeforeEach
    void start() throws IOException {
        platform = new StandInPlatform(HostAndPort.FREE_LOOPBACK_PORT);
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        platform.close();
    }

    @ParameterizedTest
    @CsvSource({"0, 200", "1, 409"})
    void insertRequiresExpectedVersionZero(long expectedVersion, int status) {
        assertEquals(status, write("a", expectedVersion, "one").status());
    }

    @Test
    void conflictReturnsCurrentRow() {
        write("a", 0, "one");
        JsonNode row = write("a", 0, "two").body().at("/rows/0");
        assertEquals("one", row.get("value").asText());
        assertEquals(1, row.get("version").asLong());
    }

    @Test
    void readsSeeWritesOfSameTransaction() {
        ObjectNode transaction = transaction("a", 0, "one");
        transaction.putArray("reads").addObject().put("table", "rows").put("key", "a");
        assertEquals("one", transact(transaction).body().at("/rows/0/value").asText());
    }

    @Test
    void versionIsNotReusedAfterDeletion() {
        write("a", 0, "one");
        write("a", 1, null);
        write("a", 0, "two");
        assertEquals(200, write("a", 2, "three").status());
    }

    @ParameterizedTest
    @CsvSource({"'', 2, a b", "a, 2, b c", "c, 2, ''"})
    void listsRowsInKeyOrder(String afterKey, int limit, String expectedKeys) {
        List.of("b", "c", "a").forEach(key -> write(key, 0, "x"));
        String path = "/v1/tables/rows?after=" + afterKey + "&limit=" + limit;
        JsonNode rows = client.exchange("GET", platform.address(), path, Map.of(), null)
                .body()
                .get("rows");
        assertEquals(expectedKeys, String.join(" ", rows.findValuesAsText("key")));
    }

    @Test
    void downModeRefusesRequestsAndWritesNothing() {
        postControl(Map.of("mode", "down"));
        assertEquals(503, write("a", 0, "one").status());
        postControl(Map.of("mode", "normal"));
        assertEquals(200, write("a", 0, "one").status());
    }

    @Test
    void silentModeSendsNoResponse() {
        postControl(Map.of("mode", "down-silent"));
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + platform.address() + "/v1/tables/rows"))
                .timeout(Duration.ofMillis(300))
                .build();
        Assertions.assertThrows(
                HttpTimeoutException.class,
                () -> HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString()));
    }

    @Test
    void slowModeDelaysRequests() {
        postControl(Map.of("mode", "slow", "delayMilliseconds", 200));
        assertTrue(write("a", 0, "one").duration().toMillis() >= 200);
    }

    @Test
    void replyLostModeKeepsWrite() {
        postControl(Map.of("mode", "reply-lost"));
        assertFalse(write("a", 0, "one").isReceived());
        postControl(Map.of("mode", "normal"));
        assertEquals(409, write("a", 0, "two").status());
    }

    @Test
    void writesBeyondRateLimitAreRefused() {
        postControl(Map.of("writesPerSecond", 1));
        write("a", 0, "one");
        assertEquals(429, write("b", 0, "one").status());
    }

    @Test
    void countsRequests() {
        write("a", 0, "one");
        write("a", 0, "two");
        JsonNode counts = client.exchange("GET", platform.address(), "/control", Map.of(), null)
                .body();
        assertEquals(
                List.of(2, 1, 1),
                List.of(
                        counts.get("transactions").asInt(),
                        counts.get("writes").asInt(),
                        counts.get("conflicts").asInt()));
    }

    private void postControl(Map<String, ?> changes) {
        client.postControl(platform.address(), changes);
    }

    private ClientResponse write(String key, long expectedVersion, String value) {
        return transact(transaction(key, expectedVersion, value));
    }

    private ClientResponse transact(JsonNode transaction) {
        return client.exchange("POST", platform.address(), "/v1/transact", Map.of(), transaction);
    }

    private static ObjectNode transaction(String key, long expectedVersion, String value) {
        ObjectNode transaction = TestkitJson.object();
        transaction
                .putArray("writes")
                .addObject()
                .put("table", "rows")
                .put("key", key)
                .put("expectedVersion", expectedVersion)
                .put("value", value);
        return transaction;
    }
}
