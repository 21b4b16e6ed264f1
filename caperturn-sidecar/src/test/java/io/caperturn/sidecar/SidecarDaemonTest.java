package io.caperturn.sidecar;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.settings.LinkTimeSettings;
import io.caperturn.settings.SidecarSettings;
import io.caperturn.settings.SidecarSettings.UpstreamSettings;
import io.caperturn.wire.Link;
import io.caperturn.wire.MessageCodec;
import io.caperturn.wire.message.CancelBatch;
import io.caperturn.wire.message.EntryAddress;
import io.caperturn.wire.message.EntryList;
import io.caperturn.wire.message.Execution;
import io.caperturn.wire.message.Frame;
import io.caperturn.wire.message.KindValues;
import io.caperturn.wire.message.Report;
import io.caperturn.wire.message.Resolve;
import io.caperturn.wire.message.TableRows;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests a sidecar with a fake upstream, which runs tasks, and a fake entry, which sends them.
 *
 * <p>The window of a sidecar is the maximum number of unfinished tasks that it accepts.
 */
@Timeout(30)
class SidecarDaemonTest {
    /** Time-out of tasks that are not expected to time out. */
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);

    private static final HttpClient HTTP = HttpClient.newHttpClient();

    private FakeUpstream upstream;
    private FakeWireEntry entry;
    private SidecarDaemon sidecar;

    @BeforeEach
    void start() throws Exception {
        upstream = new FakeUpstream();
        entry = new FakeWireEntry("entry-1");
        sidecar = SidecarDaemon.start(new SidecarSettings(
                "sidecar-1",
                "zone-a",
                "127.0.0.1:0",
                List.of(entry.address()),
                // Status 503 states that the task was not started.
                new UpstreamSettings(
                        /* announcementTimeoutMilliseconds= */ 20_000,
                        Set.of(503),
                        /* queuedPerSlot= */ 1,
                        /* connectionIdleMilliseconds= */ 15_000),
                /* ledger= */ null,
                new LinkTimeSettings(
                        /* heartbeatIntervalMilliseconds= */ 200,
                        /* silenceTimeoutMilliseconds= */ 1_000,
                        /* reconnectDelayMilliseconds= */ 50),
                /* drainTimeoutMilliseconds= */ 10_000));
        assertEquals(204, announce("serving", /* slots= */ 2));
        entry.awaitLink();
        entry.awaitFrame(frame -> frame.hasUpstream() && frame.getUpstream().getServing());
    }

    @AfterEach
    void stop() throws Exception {
        sidecar.stop();
        entry.close();
        upstream.close();
    }

    @Test
    void resultOfUpstreamIsReported() throws Exception {
        entry.dispatch("a", /* attempt= */ 1, LONG_TIMEOUT);
        Report report = entry.awaitReports(1).getFirst();
        assertEquals(FakeWireEntry.attemptIdentity("a", 1), report.getAttempt());
        assertEquals("{\"task\":\"a\"}", report.getState().getCompleted().getResult());
        // Submission, task, and the fencing token with the number of the attempt.
        assertEquals(List.of("team/job a 1.1"), upstream.starts());
    }

    @ParameterizedTest
    @CsvSource({"REDIRECT", "CHALLENGE", "CLOSE"})
    void inconclusiveResponseIsNotRetried(FakeUpstream.ResponseMode mode) throws Exception {
        upstream.setResponseMode(mode);
        entry.dispatch("a", 1, LONG_TIMEOUT);
        Report report = entry.awaitReports(1).getFirst();
        assertEquals(
                Execution.EXECUTION_MAY_HAVE_RUN, report.getState().getFailed().getExecution());
        assertEquals(1, upstream.starts().size());
    }

    @Test
    void configuredStatusIsReportedAsNotStarted() throws Exception {
        upstream.setResponseMode(FakeUpstream.ResponseMode.BUSY);
        entry.dispatch("a", 1, LONG_TIMEOUT);
        assertEquals(
                "REFUSED_BY_UPSTREAM",
                entry.awaitReports(1).getFirst().getState().getNotStarted().getReason());
    }

    @Test
    void refusedConnectionIsReportedAsNotStarted() throws Exception {
        upstream.close();
        entry.dispatch("a", 1, LONG_TIMEOUT);
        assertEquals(
                "REFUSED_BY_UPSTREAM",
                entry.awaitReports(1).getFirst().getState().getNotStarted().getReason());
    }

    @Test
    void timedOutConnectionIsNotReused() throws Exception {
        upstream.setResponseMode(FakeUpstream.ResponseMode.HOLD);
        entry.dispatch("a", 1, Duration.ofMillis(200));
        Report timedOut = entry.awaitReports(1).getFirst();
        assertEquals(
                Execution.EXECUTION_MAY_HAVE_RUN,
                timedOut.getState().getFailed().getExecution());
        upstream.setResponseMode(FakeUpstream.ResponseMode.RESULT);
        entry.dispatch("b", 1, LONG_TIMEOUT);
        assertTrue(entry.awaitReports(1).getFirst().getState().hasCompleted());
        assertEquals(2, new HashSet<>(upstream.clientPorts()).size());
    }

    @Test
    void idleConnectionsAreNotReusedAfterTimeOut() throws Exception {
        upstream.setResponseMode(FakeUpstream.ResponseMode.HOLD);
        entry.dispatch("a", 1, LONG_TIMEOUT);
        entry.dispatch("b", 1, LONG_TIMEOUT);
        awaitCondition(() -> upstream.starts().size() == 2);
        upstream.releaseHeldResponses();
        entry.awaitReports(2);
        entry.dispatch("c", 1, Duration.ofMillis(200));
        entry.awaitReports(1);
        upstream.setResponseMode(FakeUpstream.ResponseMode.RESULT);
        entry.dispatch("d", 1, LONG_TIMEOUT);
        entry.awaitReports(1);
        List<Integer> ports = upstream.clientPorts();
        // Task d has none of the connections of the tasks a, b and c.
        assertFalse(ports.subList(0, 3).contains(ports.get(3)));
    }

    @Test
    void idleConnectionIsReused() throws Exception {
        for (String task : List.of("a", "b", "c")) {
            entry.dispatch(task, 1, LONG_TIMEOUT);
            entry.awaitReports(1);
        }
        assertEquals(1, new HashSet<>(upstream.clientPorts()).size());
    }

    @Test
    void concurrentRunsAreLimitedBySlots() throws Exception {
        upstream.setResponseMode(FakeUpstream.ResponseMode.HOLD);
        for (String task : List.of("a", "b", "c", "d")) {
            entry.dispatch(task, 1, LONG_TIMEOUT);
        }
        // The upstream has 2 slots, and 1 task may be queued for each, so that the fifth task is refused.
        entry.dispatch("e", 1, LONG_TIMEOUT);
        assertEquals(
                "FULL",
                entry.awaitReports(1).getFirst().getState().getNotStarted().getReason());
        assertTrue(upstream.starts().size() <= 2);
        releaseHeldResponsesUntil(() -> upstream.starts().size() == 4);
        entry.awaitReports(2);
    }

    @Test
    void cancelIsSentToUpstream() throws Exception {
        upstream.setResponseMode(FakeUpstream.ResponseMode.HOLD);
        entry.dispatch("a", 1, LONG_TIMEOUT);
        awaitCondition(() -> upstream.starts().size() == 1);
        entry.send(Frame.newBuilder()
                .setCancelBatch(CancelBatch.newBuilder().addAttempts(FakeWireEntry.attemptIdentity("a", 1))));
        awaitCondition(() -> upstream.aborts().equals(List.of("/v1/tasks/1.1/team/job/a")));
        upstream.releaseHeldResponses();
        entry.awaitReports(1);
    }

    @Test
    void resolveOverNewLinkReturnsResult() throws Exception {
        upstream.setResponseMode(FakeUpstream.ResponseMode.HOLD);
        entry.dispatch("a", 1, LONG_TIMEOUT);
        awaitCondition(() -> upstream.starts().size() == 1);
        Link closedLink = entry.reopenLink();
        upstream.releaseHeldResponses();
        entry.send(Frame.newBuilder()
                .setResolve(Resolve.newBuilder()
                        .setAddressee(MessageCodec.toMessage(sidecar.self()))
                        .setAttempt(FakeWireEntry.attemptIdentity("a", 1))));
        Frame frame = entry.awaitFrame(Frame::hasResolved);
        assertFalse(closedLink.send(Frame.newBuilder()));
        // The task may still be running when the sidecar answers; its result then follows in a report.
        if (frame.getResolved().getState().hasRunning()) {
            assertTrue(entry.awaitReports(1).getFirst().getState().hasCompleted());
        } else {
            assertTrue(frame.getResolved().getState().hasCompleted());
        }
    }

    @Test
    void leavingUpstreamIsReportedToEntryWithWindowZero() throws Exception {
        announce("leaving", 2);
        Frame frame = entry.awaitFrame(
                sent -> sent.hasUpstream() && !sent.getUpstream().getServing());
        assertEquals(0, frame.getUpstream().getWindow());
    }

    @Test
    void changedSlotCountIsReportedToEntry() throws Exception {
        announce("serving", 5);
        entry.awaitFrame(frame -> frame.hasUpstream() && frame.getUpstream().getSlots() == 5);
    }

    @Test
    void tasksAreSentToChangedAddress() throws Exception {
        try (FakeUpstream newUpstream = new FakeUpstream()) {
            announce("serving", 2, newUpstream.address());
            entry.dispatch("a", 1, LONG_TIMEOUT);
            entry.awaitReports(1);
            assertEquals(1, newUpstream.starts().size());
        }
    }

    @Test
    void drainWaitsForRunningTasks() throws Exception {
        upstream.setResponseMode(FakeUpstream.ResponseMode.HOLD);
        entry.dispatch("a", 1, LONG_TIMEOUT);
        awaitCondition(() -> upstream.starts().size() == 1);
        CompletableFuture<Void> drained = CompletableFuture.runAsync(sidecar::drain);
        entry.awaitFrame(frame -> frame.hasUpstream() && !frame.getUpstream().getServing());
        assertEquals(503, get("/readyz").statusCode());
        assertFalse(drained.isDone());
        upstream.releaseHeldResponses();
        assertTrue(entry.awaitReports(1).getFirst().getState().hasCompleted());
        drained.get();
    }

    @Test
    void newerTableVersionIsRequestedForServedKinds() throws Exception {
        entry.setTableVersion(9);
        Frame request = entry.awaitFrame(Frame::hasTableRequest);
        assertEquals(List.of("assay"), request.getTableRequest().getKindsList());
        sendTable(9);
        awaitCondition(() -> get("/metrics").body().contains("caperturn_table_version 9.0"));
    }

    @Test
    void rowsOfNewlyServedKindsAreRequested() throws Exception {
        entry.setTableVersion(9);
        sendTable(9);
        awaitCondition(() -> get("/metrics").body().contains("caperturn_table_version 9.0"));
        assertEquals(204, post(announcement("serving", 2, upstream.address()).replace("\"assay\"", "\"fineness\"")));
        Frame request =
                entry.awaitFrame(frame -> frame.getTableRequest().getKindsList().contains("fineness"));
        assertEquals(0, request.getTableRequest().getKnownVersion());
    }

    @Test
    void linkIsOpenedToListedEntry() throws Exception {
        try (FakeWireEntry secondEntry = new FakeWireEntry("entry-2")) {
            entry.send(Frame.newBuilder()
                    // "localhost" in place of the 9 characters of "127.0.0.1" must not lead to a second link.
                    .setEntryList(EntryList.newBuilder()
                            .addEntries(EntryAddress.newBuilder()
                                    .setName("entry-1")
                                    .setLinkAddress(
                                            "localhost" + entry.address().substring(9)))
                            .addEntries(EntryAddress.newBuilder()
                                    .setName("entry-2")
                                    .setLinkAddress(secondEntry.address()))));
            secondEntry.awaitLink();
            secondEntry.awaitFrame(
                    frame -> frame.hasUpstream() && frame.getUpstream().getServing());
            entry.dispatch("a", 1, LONG_TIMEOUT);
            entry.awaitReports(1);
        }
    }

    @Test
    void lowerTableVersionIsIgnored() throws Exception {
        sendTable(9);
        sendTable(8);
        entry.dispatch("a", 1, LONG_TIMEOUT);
        assertEquals(9, entry.awaitFrame(Frame::hasReportBatch).getTableVersion());
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "[", "null", "{}", "{\"name\":1}"})
    void malformedAnnouncementIsRefused(String body) throws Exception {
        assertEquals(400, post(body));
    }

    @ParameterizedTest
    @CsvSource({
        "'\"upstream-1\"', '\" \"'", "'[\"assay\"]', '[]'", "'\"slots\":2', '\"slots\":0'",
        "'\"connections\":4', '\"connections\":-1'", "'127.0.0.1:', '127.0.0.1/'", "serving, gone"
    })
    void announcementWithMemberOutOfRangeIsRefused(String validText, String invalidText) throws Exception {
        assertEquals(400, post(announcement("serving", 2, "127.0.0.1:1").replace(validText, invalidText)));
    }

    @Test
    void oversizedAnnouncementIsRefused() throws Exception {
        assertEquals(413, post(announcement("serving", 2, "127.0.0.1:1") + " ".repeat(64 * 1024)));
    }

    @ParameterizedTest
    @CsvSource({"/healthz, 200", "/readyz, 200", "/metrics, 200", "/other, 404", "/v1/announcements, 405"})
    void pathReturnsStatus(String path, int status) throws Exception {
        awaitCondition(() -> get(path).statusCode() == status);
    }

    private void sendTable(long version) {
        entry.send(Frame.newBuilder()
                .setTableRows(TableRows.newBuilder()
                        .setVersion(version)
                        .addKinds(KindValues.newBuilder()
                                .setKind("assay")
                                .setWeight(1)
                                .setUrgency("NORMAL")
                                .setTaskTimeoutMilliseconds(1_000))));
    }

    /** Sends an announcement of the upstream, and returns the status of the response. */
    private int announce(String state, int slots) throws Exception {
        return announce(state, slots, upstream.address());
    }

    private int announce(String state, int slots, String address) throws Exception {
        return post(announcement(state, slots, address));
    }

    private static String announcement(String state, int slots, String address) {
        return """
                {"name":"upstream-1","kinds":["assay"],"slots":%d,"connections":4,"worker":"worker-1","rack":"rack-1",
                "availabilityZone":"zone-a","address":"%s","state":"%s"}""".formatted(slots, address, state);
    }

    private int post(String body) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(uri("/v1/announcements"))
                .POST(HttpRequest.BodyPublishers.ofString(body))
                .build();
        return HTTP.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private HttpResponse<String> get(String path) {
        try {
            return HTTP.send(HttpRequest.newBuilder(uri(path)).build(), HttpResponse.BodyHandlers.ofString());
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }

    private URI uri(String path) {
        return URI.create("http://" + sidecar.announceAddress() + path);
    }

    private void releaseHeldResponsesUntil(BooleanSupplier condition) throws InterruptedException {
        awaitCondition(() -> {
            upstream.releaseHeldResponses();
            return condition.getAsBoolean();
        });
    }

    /** Waits until a condition holds, at most until the time-out of the test. */
    private static void awaitCondition(BooleanSupplier condition) throws InterruptedException {
        while (!condition.getAsBoolean()) {
            Thread.sleep(5);
        }
    }
}
