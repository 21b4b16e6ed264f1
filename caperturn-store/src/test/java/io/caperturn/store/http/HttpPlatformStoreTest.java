package io.caperturn.store.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import io.caperturn.store.RowKey;
import io.caperturn.store.StoreResult;
import io.caperturn.store.StoreRow;
import io.caperturn.store.Transaction;
import io.caperturn.store.Write;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests of the HTTP store client against a server with given replies and faults. */
class HttpPlatformStoreTest {
    private static final RowKey KEY = new RowKey("claims", "team/job");
    private static final String ROWS =
            "{\"rows\":[{\"table\":\"claims\",\"key\":\"team/job\",\"version\":1,\"value\":\"v\"}]}";
    private static final Transaction READ = new Transaction(List.of(KEY), List.of());
    private static final Transaction WRITE =
            new Transaction(List.of(KEY), List.of(new Write(KEY, /* expectedVersion= */ 0, Optional.of("v"))));

    private final ScriptedHandler handler = new ScriptedHandler();
    private final Server server = new Server(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    private HttpPlatformStore store;

    @BeforeEach
    void start() throws Exception {
        server.setHandler(handler);
        server.start();
        store = newStore(((ServerConnector) server.getConnectors()[0]).getLocalPort());
    }

    @AfterEach
    void stop() throws Exception {
        store.close();
        server.stop();
    }

    @Test
    void returnsCommittedRows() {
        handler.replyWith(200, ROWS);

        assertEquals(new StoreResult.Committed(List.of(new StoreRow(KEY, 1, Optional.of("v")))), store.transact(WRITE));
    }

    @Test
    void sendsTransactionAsProtocolJson() {
        handler.replyWith(200, ROWS);

        store.transact(WRITE);

        assertEquals(
                "{\"reads\":[{\"table\":\"claims\",\"key\":\"team/job\"}],\"writes\":[{\"table\":\"claims\","
                        + "\"key\":\"team/job\",\"expectedVersion\":0,\"value\":\"v\"}]}",
                handler.bodies.poll());
    }

    @Test
    void escapesKeyInScanRequest() {
        handler.replyWith(200, ROWS);

        store.scan("claims", /* afterKey= */ "a/b c", /* limit= */ 10);

        assertEquals("/v1/tables/claims?limit=10&after=a%2Fb%20c", handler.paths.poll());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "409 | {\"rows\":[]} | Conflict",
                "409 | nonsense | Unknown",
                "429 | | RateLimited",
                "503 | | Unavailable",
                "500 | | Unknown",
                "302 | | Unknown",
                "200 | nonsense | Unknown",
                "200 | {} | Unknown",
                "200 | {\"rows\":[]} | Unknown",
                "200 | {\"rows\":[{\"table\":\"claims\",\"version\":1}]} | Unknown",
            })
    void mapsReplyToResult(int status, String body, String expected) {
        handler.replyWith(status, body == null ? "" : body);

        assertEquals(expected, store.transact(WRITE).getClass().getSimpleName());
    }

    @Test
    void reportsUnavailableIfConnectionIsRefused() throws IOException {
        int port;
        try (ServerSocket socket = new ServerSocket(0)) {
            port = socket.getLocalPort();
        }
        try (HttpPlatformStore unreachable = newStore(port)) {
            assertInstanceOf(StoreResult.Unavailable.class, unreachable.transact(WRITE));
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void reportsUnknownIfConnectionClosesDuringWrite(boolean reset) throws Exception {
        try (ServerSocket socket = new ServerSocket(0);
                HttpPlatformStore broken = newStore(socket.getLocalPort())) {
            Thread closer = Thread.ofVirtual().start(() -> closeAfterFirstByte(socket, reset));

            assertInstanceOf(StoreResult.Unknown.class, broken.transact(WRITE));
            closer.join();
        }
    }

    @Test
    void reportsUnknownIfWriteGetsNoReply() {
        useShortTimeout();
        handler.sendNoReplies();

        assertInstanceOf(StoreResult.Unknown.class, store.transact(WRITE));
    }

    @Test
    void reportsUnavailableIfReadGetsNoReply() {
        useShortTimeout();
        handler.sendNoReplies();

        assertInstanceOf(StoreResult.Unavailable.class, store.transact(READ));
        assertInstanceOf(StoreResult.Unavailable.class, store.scan("claims", "", 1));
    }

    @Test
    void doesNotReuseConnectionThatTimedOut() {
        useShortTimeout();
        handler.sendNoReplies();
        store.transact(WRITE);
        handler.replyWith(200, ROWS);

        assertInstanceOf(StoreResult.Committed.class, store.transact(WRITE));

        assertNotEquals(handler.clientPorts.poll(), handler.clientPorts.poll());
    }

    @Test
    void retiresAllConnectionsOpenAtTimeout() throws Exception {
        useShortTimeout();
        handler.replyWith(200, ROWS);
        handler.holdRepliesUntil(3);
        try (ExecutorService callers = Executors.newFixedThreadPool(3)) {
            callers.invokeAll(Collections.nCopies(3, () -> store.transact(WRITE)));
        }
        handler.ignoreConnectionsSeen();

        assertInstanceOf(StoreResult.Unknown.class, store.transact(WRITE));
        assertInstanceOf(StoreResult.Committed.class, store.transact(WRITE));
    }

    private static HttpPlatformStore newStore(int port) {
        return new HttpPlatformStore("127.0.0.1:" + port, Duration.ofSeconds(10));
    }

    /** Replaces the store by one with a short time-out, after a first call has loaded all classes. */
    private void useShortTimeout() {
        handler.replyWith(200, ROWS);
        store.transact(WRITE);
        handler.clientPorts.clear();
        store.close();
        store = new HttpPlatformStore("127.0.0.1:" + server.getURI().getPort(), Duration.ofSeconds(1));
    }

    private static void closeAfterFirstByte(ServerSocket server, boolean reset) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read();
            if (reset) {
                // A linger time of 0 makes close reset the connection.
                socket.setSoLinger(true, 0);
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Handler that sends the configured reply to every request, or none. */
    private static final class ScriptedHandler extends Handler.Abstract {
        private final BlockingQueue<Integer> clientPorts = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
        private final BlockingQueue<String> paths = new LinkedBlockingQueue<>();
        private final Set<Integer> ignoredPorts = ConcurrentHashMap.newKeySet();
        private volatile CountDownLatch awaitedRequests = new CountDownLatch(0);
        /** HTTP status of the replies; 0 if none are sent. */
        private volatile int status;

        private volatile String body;

        private void replyWith(int nextStatus, String nextBody) {
            body = nextBody;
            status = nextStatus;
        }

        /** Holds back all replies until the given number of requests has arrived. */
        private void holdRepliesUntil(int requests) {
            awaitedRequests = new CountDownLatch(requests);
        }

        /** Sends no more replies on the connections that were used so far. */
        private void ignoreConnectionsSeen() {
            ignoredPorts.addAll(clientPorts);
        }

        private void sendNoReplies() {
            status = 0;
        }

        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            clientPorts.add(Request.getRemotePort(request));
            paths.add(request.getHttpURI().getPathQuery());
            bodies.add(Content.Source.asString(request));
            awaitedRequests.countDown();
            awaitedRequests.await();
            if (status != 0 && !ignoredPorts.contains(Request.getRemotePort(request))) {
                response.setStatus(status);
                Content.Sink.write(response, /* last= */ true, body, callback);
            }
            return true;
        }
    }
}
