package io.caperturn.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.caperturn.kernel.ServiceStartException;
import io.caperturn.settings.EntrySettings;
import io.caperturn.settings.EntrySettings.RequestBounds;
import io.caperturn.testkit.HostAndPort;
import io.caperturn.testkit.platform.StandInPlatform;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that an entry process answers invalid requests with problem details and admits nothing of them. */
class InvalidRequestTest {
    private static final int MAXIMUM_TASKS = 10;
    private static final int MAXIMUM_BODY_BYTES = 10_000;
    private static final int MAXIMUM_HEADER_BYTES = 2_000;
    private static final int MAXIMUM_DEADLINE_MILLISECONDS = 60_000;
    /** Delay of the body, long enough for a response that does not depend on the body to be sent first. */
    private static final long LATE_BODY_MILLISECONDS = 200;

    private static final Duration READY_TIMEOUT = Duration.ofSeconds(20);
    private static final String TASK = "{\"id\":\"t1\",\"payload\":{}}";
    /** Transaction that writes an operators' table with the kind of task {@code assay} to the store. */
    private static final String TABLE_TRANSACTION = "{\"reads\":[],\"writes\":["
            + "{\"table\":\"kinds\",\"key\":\"assay\",\"expectedVersion\":0,\"value\":\"{\\\"kind\\\":\\\"assay\\\","
            + "\\\"weight\\\":1,\\\"urgency\\\":\\\"NORMAL\\\",\\\"limits\\\":{},"
            + "\\\"taskTimeoutMilliseconds\\\":1000,\\\"changeId\\\":\\\"c\\\"}\"},"
            + "{\"table\":\"versions\",\"key\":\"table\",\"expectedVersion\":0,"
            + "\"value\":\"{\\\"version\\\":1,\\\"changeId\\\":\\\"c\\\"}\"}]}";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static StandInPlatform platform;
    private static EntryDaemon entry;

    @BeforeAll
    static void start() throws IOException, InterruptedException, ServiceStartException {
        platform = new StandInPlatform(HostAndPort.FREE_LOOPBACK_PORT);
        send("POST", "http://" + platform.address() + "/v1/transact", TABLE_TRANSACTION);
        // Settings that are null or 0 take their default values.
        entry = EntryDaemon.start(new EntrySettings(
                "entry",
                "zone",
                "127.0.0.1:0",
                "127.0.0.1:0",
                platform.address().toString(),
                new RequestBounds(
                        MAXIMUM_BODY_BYTES, MAXIMUM_HEADER_BYTES, MAXIMUM_TASKS, MAXIMUM_DEADLINE_MILLISECONDS),
                /* claims= */ null,
                /* answers= */ null,
                /* links= */ null,
                /* unservableGraceMilliseconds= */ 0,
                /* drainTimeoutMilliseconds= */ 0));
        long deadlineNanoseconds = System.nanoTime() + READY_TIMEOUT.toNanos();
        while (send("GET", url("/readyz"), "").statusCode() != 200) {
            assertTrue(System.nanoTime() < deadlineNanoseconds, "the entry did not become ready in time");
            Thread.sleep(10);
        }
    }

    @AfterAll
    static void stop() throws IOException {
        entry.stop();
        platform.close();
    }

    static Stream<Arguments> invalidRequests() {
        return Stream.of(
                arguments("malformed JSON", "POST", "/v1/jobs", "{\"team\":", 400),
                arguments("no JSON object", "POST", "/v1/jobs", "[]", 400),
                arguments("empty body", "POST", "/v1/jobs", "", 400),
                arguments("job without tasks", "POST", "/v1/jobs", jobJson("lab", "assay", "1000", ""), 400),
                arguments(
                        "too many tasks", "POST", "/v1/jobs", jobJson("lab", "assay", "1000", tooManyTasksJson()), 400),
                arguments("oversized body", "POST", "/v1/jobs", "x".repeat(MAXIMUM_BODY_BYTES + 1), 413),
                arguments("negative deadline", "POST", "/v1/jobs", jobJson("lab", "assay", "-1", TASK), 400),
                arguments("zero deadline", "POST", "/v1/jobs", jobJson("lab", "assay", "0", TASK), 400),
                arguments("non-integer deadline", "POST", "/v1/jobs", jobJson("lab", "assay", "1e300", TASK), 400),
                arguments(
                        "deadline above the maximum", "POST", "/v1/jobs", jobJson("lab", "assay", "60001", TASK), 400),
                arguments(
                        "duplicate task", "POST", "/v1/jobs", jobJson("lab", "assay", "1000", TASK + "," + TASK), 400),
                arguments("blank team", "POST", "/v1/jobs", jobJson(" ", "assay", "1000", TASK), 400),
                arguments("unknown member", "POST", "/v1/jobs", "{\"colour\":1}", 400),
                arguments("duplicate member", "POST", "/v1/jobs", "{\"team\":\"a\",\"team\":\"b\"}", 400),
                arguments("wrong method", "PUT", "/v1/jobs", jobJson("lab", "assay", "1000", TASK), 405),
                arguments("wrong path", "POST", "/v1/nothing", "{}", 404),
                arguments("request without kind", "POST", "/v1/requests", "{\"team\":\"lab\"}", 400));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("invalidRequests")
    void answersInvalidRequestWithProblemAndNotRun(String name, String method, String path, String body, int status)
            throws IOException, InterruptedException {
        HttpResponse<String> response = send(method, url(path), body);
        JsonNode problem = MAPPER.readTree(response.body());
        assertEquals(status, response.statusCode());
        assertEquals(
                "application/problem+json",
                response.headers().firstValue("Content-Type").orElse(""));
        assertEquals("not-run", problem.path("execution").asText());
        assertFalse(problem.path("detail").asText().isBlank());
    }

    /**
     * The answer must not state that nothing ran at all: the kind may have been known when an earlier request with the
     * same key was accepted.
     */
    @Test
    void unknownKindIsRejectedAsAttemptNotRun() throws IOException, InterruptedException {
        HttpResponse<String> response = send("POST", url("/v1/jobs"), jobJson("lab", "gold", "1000", TASK));
        assertEquals(422, response.statusCode());
        assertEquals(
                "attempt-not-run",
                MAPPER.readTree(response.body()).path("execution").asText());
    }

    @Test
    void oversizedHeaderIsRejected() throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(url("/v1/jobs")))
                .header("Idempotency-Key", "x".repeat(MAXIMUM_HEADER_BYTES + 1))
                .POST(HttpRequest.BodyPublishers.ofString("{}"))
                .build();
        HttpResponse<String> response = CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(431, response.statusCode());
        assertEquals(
                "not-run", MAPPER.readTree(response.body()).path("execution").asText());
    }

    @Test
    void jobRequiresIdempotencyKey() throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(url("/v1/jobs")))
                .POST(HttpRequest.BodyPublishers.ofString(jobJson("lab", "assay", "1000", TASK)))
                .build();
        assertEquals(
                400, CLIENT.send(request, HttpResponse.BodyHandlers.ofString()).statusCode());
    }

    @Test
    void invalidRequestsAdmitNothing() throws IOException, InterruptedException {
        for (Arguments arguments : invalidRequests().toList()) {
            send((String) arguments.get()[1], url((String) arguments.get()[2]), (String)
                    arguments.get()[3]);
        }
        assertFalse(send("GET", url("/metrics"), "").body().contains("caperturn_admitted_total"));
    }

    private static String jobJson(String team, String kind, String deadlineMilliseconds, String tasks) {
        return "{\"team\":\"" + team + "\",\"kind\":\"" + kind + "\",\"deadlineMilliseconds\":" + deadlineMilliseconds
                + ",\"tasks\":[" + tasks + "]}";
    }

    /** A body that arrives after the answer must not make the caller lose its next request on the connection. */
    @ParameterizedTest
    @CsvSource({"POST, /v1/nothing", "PUT, /v1/jobs", "POST, /v1/jobs", "POST, /v1/requests"})
    void connectionIsReusableAfterLateBodyOrAnnouncedAsClosed(String method, String path) throws Exception {
        String head = method + " " + path + " HTTP/1.1\r\nHost: entry\r\nIdempotency-Key: key\r\n"
                + "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n";
        try (Socket socket = new Socket("127.0.0.1", URI.create(url("/")).getPort())) {
            socket.setSoTimeout(2_000);
            OutputStream out = socket.getOutputStream();
            out.write(head.getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(LATE_BODY_MILLISECONDS);
            out.write("{}".getBytes(StandardCharsets.US_ASCII));
            byte[] buffer = new byte[8_192];
            String firstResponse =
                    new String(buffer, 0, socket.getInputStream().read(buffer), StandardCharsets.US_ASCII);
            if (!firstResponse.toLowerCase(Locale.ROOT).contains("connection: close")) {
                out.write((head + "{}").getBytes(StandardCharsets.US_ASCII));
                assertTrue(
                        socket.getInputStream().read(buffer) > 0,
                        () -> "closed without an announcement after " + firstResponse);
            }
        }
    }

    private static String tooManyTasksJson() {
        return String.join(
                ",",
                Stream.iterate(0, number -> number + 1)
                        .limit(MAXIMUM_TASKS + 1)
                        .map(number -> TASK.replace("t1", "t" + number))
                        .toList());
    }

    private static String url(String path) {
        return "http://" + entry.httpAddress() + path;
    }

    private static HttpResponse<String> send(String method, String url, String body)
            throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create(url))
                .header("Idempotency-Key", "key")
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
    }
}
