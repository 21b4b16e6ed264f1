package io.caperturn.entry.table;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.store.http.HttpPlatformStore;
import io.caperturn.store.table.TableEditor;
import io.caperturn.testkit.HostAndPort;
import io.caperturn.testkit.platform.PlatformBehaviour;
import io.caperturn.testkit.platform.PlatformMode;
import io.caperturn.testkit.platform.StandInPlatform;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of {@link TableEndpoint} over HTTP, against a stand-in for the platform's store. */
class TableEndpointTest {
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(3);

    private static final String ASSAY_ROW =
            "{\"weight\":3,\"urgency\":\"URGENT\",\"limits\":{\"running\":8}," + "\"taskTimeoutMilliseconds\":2000}";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final Server server = new Server(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    private final HttpClient client = new HttpClient();
    private final AtomicInteger acceptedEdits = new AtomicInteger();
    private StandInPlatform platform;
    private HttpPlatformStore store;

    @BeforeEach
    void start() throws Exception {
        platform = new StandInPlatform(HostAndPort.FREE_LOOPBACK_PORT);
        store = new HttpPlatformStore(platform.address().toString(), STORE_TIMEOUT);
        TableEndpoint endpoint = new TableEndpoint(
                new TableEditor(store), acceptedEdits::incrementAndGet, /* maximumBodyBytes= */ 1 << 20);
        server.setHandler(new Handler.Abstract() {
            @Override
            public boolean handle(org.eclipse.jetty.server.Request request, Response response, Callback callback)
                    throws Exception {
                endpoint.handle(request, response, callback);
                return true;
            }
        });
        server.start();
        client.start();
    }

    @AfterEach
    void stop() throws Exception {
        client.stop();
        server.stop();
        store.close();
        platform.close();
    }

    @Test
    void getReturnsRowThatWasPut() throws Exception {
        ContentResponse put = putRow("kinds/assay", /* entityTag= */ "\"0\"", /* changeId= */ "c1", ASSAY_ROW);
        ContentResponse fetched = send("GET", "kinds/assay", Map.of(), "");

        assertEquals(200, put.getStatus());
        assertEquals(parseJson(fetched), parseJson(put));
        assertEquals("\"1\"", fetched.getHeaders().get("ETag"));
        assertEquals(8, parseJson(fetched).path("limits").path("running").asInt());
        assertEquals(1, acceptedEdits.get());
    }

    @ParameterizedTest
    @CsvSource({
        "PUT, '', c1, 428",
        "DELETE, '', c1, 428",
        "PUT, '\"0\"', '', 400",
        "PUT, *, c1, 400",
        "PUT, '\"7\"', c1, 412",
        "DELETE, '\"7\"', c1, 412",
        "DELETE, '\"0\"', c1, 422",
        "POST, '\"0\"', c1, 405",
    })
    void editRequiresRowVersionAndChangeId(String method, String entityTag, String changeId, int status)
            throws Exception {
        Map<String, String> headers = Map.of("If-Match", entityTag, "Caperturn-Change-Id", changeId);

        assertEquals(status, send(method, "kinds/assay", headers, ASSAY_ROW).getStatus());
        assertEquals(0, acceptedEdits.get());
    }

    @Test
    void conflictingEditReturnsRowInForce() throws Exception {
        putRow("kinds/assay", "\"0\"", "c1", ASSAY_ROW);

        ContentResponse refused = putRow("kinds/assay", "\"0\"", "c2", ASSAY_ROW.replace("3", "9"));

        JsonNode row = parseJson(refused).path("rows").path(0);
        assertEquals(412, refused.getStatus());
        assertEquals("assay", row.path("key").asText());
        assertEquals(1, row.path("rowVersion").asInt());
        assertEquals(3, row.path("row").path("weight").asInt());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "\"weight\":3 | \"weight\":-1 | weight",
                "\"weight\":3 | \"weight\":\"3\" | weight",
                "\"weight\":3 | \"wieght\":3 | wieght",
                "URGENT | SOON | urgency",
                "\"running\":8 | \"running\":0 | running",
                "\"running\":8 | \"running\":-8 | running",
                "\"running\":8 | \"runing\":8 | runing",
                "2000 | 0 | taskTimeoutMilliseconds",
            })
    void invalidRowIsRejectedWithRowAndColumn(String validText, String invalidText, String column) throws Exception {
        ContentResponse refused = putRow("kinds/assay", "\"0\"", "c1", ASSAY_ROW.replace(validText, invalidText));

        assertEquals(422, refused.getStatus());
        JsonNode mistakes = parseJson(refused).path("mistakes");
        assertTrue(
                mistakes.findValuesAsText("column").contains(column)
                        && mistakes.findValuesAsText("row").contains("kinds/assay"),
                mistakes.toString());
        assertEquals(0, acceptedEdits.get());
    }

    @Test
    void limitOfZeroIsAcceptedWithExplicitZero() throws Exception {
        String blockedRow = ASSAY_ROW
                .replace("\"running\":8", "\"running\":0")
                .replace("{\"weight\"", "{\"explicitZero\":true,\"weight\"");

        assertEquals(200, putRow("kinds/assay", "\"0\"", "c1", blockedRow).getStatus());
    }

    @ParameterizedTest
    @CsvSource({"true, 0", "false, 3"})
    void changeWritesAllRowsUnlessDryRun(boolean dryRun, int rowCount) throws Exception {
        ContentResponse imported = putThreeRows("c1", dryRun, /* assayVersion= */ 0);

        assertEquals(200, imported.getStatus());
        assertEquals(1, parseJson(imported).path("version").asInt());
        JsonNode table = parseJson(send("GET", "", Map.of(), ""));
        assertEquals(rowCount, table.path("kinds").size() + table.path("teams").size());
    }

    @Test
    void changeWritesNothingIfOneRowIsStale() throws Exception {
        putRow("kinds/assay", "\"0\"", "c1", ASSAY_ROW);

        ContentResponse refused = putThreeRows("c2", /* dryRun= */ false, /* assayVersion= */ 0);

        assertEquals(412, refused.getStatus());
        assertEquals(1, parseJson(refused).path("rows").size());
        assertEquals(0, parseJson(send("GET", "", Map.of(), "")).path("teams").size());
    }

    @Test
    void repeatedChangeHasNoEffectAndHistoryListsChanges() throws Exception {
        putThreeRows("c1", /* dryRun= */ false, /* assayVersion= */ 0);
        assertEquals(200, putRow("kinds/assay", "\"1\"", "c2", ASSAY_ROW).getStatus());

        ContentResponse repeated = putThreeRows("c1", /* dryRun= */ false, /* assayVersion= */ 0);

        assertEquals(1, parseJson(repeated).path("version").asInt());
        JsonNode changes =
                parseJson(send("GET", "history?limit=10", Map.of(), "")).path("changes");
        assertEquals("[c2, c1]", changes.findValuesAsText("changeId").toString());
        assertEquals(3, changes.path(1).path("rows").size());
    }

    @ParameterizedTest
    @CsvSource({"DOWN, 503, not-run", "DOWN_SILENT, 503, not-run"})
    void editDuringStoreOutageIsRejectedAsNotRun(PlatformMode mode, int status, String execution) throws Exception {
        platform.setBehaviour(new PlatformBehaviour(
                mode, /* delayMilliseconds= */ 0, /* writesPerSecond= */ 500, /* syncMilliseconds= */ 0));

        ContentResponse refused = putRow("kinds/assay", "\"0\"", "c1", ASSAY_ROW);

        assertEquals(status, refused.getStatus());
        assertEquals(execution, parseJson(refused).path("execution").asText());
        assertEquals("1", refused.getHeaders().get("Retry-After"));
    }

    @Test
    void editIsAcceptedAfterStoreReplyIsLost() throws Exception {
        platform.setBehaviour(new PlatformBehaviour(
                PlatformMode.REPLY_LOST,
                /* delayMilliseconds= */ 0,
                /* writesPerSecond= */ 500,
                /* syncMilliseconds= */ 0));

        ContentResponse accepted = putRow("kinds/assay", "\"0\"", "c1", ASSAY_ROW);

        assertEquals(200, accepted.getStatus());
        assertEquals(1, parseJson(accepted).path("version").asInt());
    }

    /** Sends a change of three rows: the kinds of task {@code assay} and {@code stamp} and the team {@code lab}. */
    private ContentResponse putThreeRows(String changeId, boolean dryRun, long assayVersion) throws Exception {
        String body = """
                {"changeId":"%s","author":"kim","dryRun":%s,"edits":[
                 {"kind":{"kind":"assay","weight":3,"urgency":"urgent","limits":{},"taskTimeoutMilliseconds":9},
                  "expectedVersion":%d},
                 {"kind":{"kind":"stamp","weight":1,"urgency":"NORMAL","taskTimeoutMilliseconds":9},
                  "expectedVersion":0},
                 {"team":{"team":"lab","limits":{"queued":5}},"expectedVersion":0}]}
                """.formatted(changeId, dryRun, assayVersion);
        return send("PUT", "", Map.of(), body);
    }

    /** Puts a row if its version equals that in {@code entityTag}; version 0 stands for a new row. */
    private ContentResponse putRow(String rowPath, String entityTag, String changeId, String body) throws Exception {
        return send("PUT", rowPath, Map.of("If-Match", entityTag, "Caperturn-Change-Id", changeId), body);
    }

    private ContentResponse send(String method, String pathBelowTable, Map<String, String> headers, String body)
            throws Exception {
        String path = TableEndpoint.PATH + (pathBelowTable.isEmpty() ? "" : "/" + pathBelowTable);
        Request request =
                client.newRequest(server.getURI().resolve(path).toString()).method(method);
        request.headers(fields -> headers.forEach(fields::put));
        if (!body.isEmpty()) {
            request.body(new StringRequestContent("application/json", body));
        }
        return request.send();
    }

    private static JsonNode parseJson(ContentResponse response) throws Exception {
        return MAPPER.readTree(response.getContentAsString());
    }
}
