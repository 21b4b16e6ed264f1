package io.caperturn.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.core.model.ProcessId;
import io.caperturn.wire.message.Demand;
import io.caperturn.wire.message.Frame;
import io.caperturn.wire.message.Hello;
import io.caperturn.wire.message.Role;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests of links (connections of processes) to a peer that sends raw bytes, and between two endpoints. */
class LinkEndpointTest {
    private static final int MAXIMUM_FRAME_BYTES = 1_024;
    private static final int MAXIMUM_WAIT_SECONDS = 10;
    private static final int QUEUED_FRAMES = 1_000;
    private static final String LOOPBACK = "127.0.0.1";

    private final RecordingListener serverListener = new RecordingListener();
    private final List<LinkEndpoint> endpoints = new ArrayList<>();
    private final LogRecorder log = new LogRecorder();
    private InetSocketAddress address;

    @BeforeEach
    void listen() throws IOException {
        log.attach();
        address = newEndpoint("server", serverListener, /* silenceTimeout= */ Duration.ofMinutes(1))
                .listen(LOOPBACK, 0);
    }

    @AfterEach
    void close() {
        endpoints.forEach(LinkEndpoint::close);
        log.detach();
    }

    /** Inputs of which each must close the link and be logged once. */
    static Stream<byte[]> garbage() throws IOException {
        byte[] invalidBytes = {(byte) 0xff, (byte) 0xff, (byte) 0xff, 1};
        return Stream.of(
                withLengthPrefix(invalidBytes),
                concatenate(withLengthPrefix(invalidBytes), withLengthPrefix(invalidBytes)),
                concatenate(
                        withLengthPrefix(helloFrame("peer").build().toByteArray()),
                        withLengthPrefix(invalidBytes),
                        withLengthPrefix(demandFrame())),
                "GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(),
                // Length prefixes above the maximum and below zero.
                new byte[] {0x7f, 0, 0, 0},
                new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1, 2, 3, 4},
                withLengthPrefix(new byte[MAXIMUM_FRAME_BYTES + 1]),
                concatenate(
                        withLengthPrefix(new byte[MAXIMUM_FRAME_BYTES + 1]),
                        withLengthPrefix(demandFrame()),
                        withLengthPrefix(demandFrame())),
                withLengthPrefix(
                        helloFrame("peer").setProtocolVersion(99).build().toByteArray()),
                // The peer's name is blank.
                withLengthPrefix(helloFrame("").build().toByteArray()),
                // The first frame is not a hello.
                withLengthPrefix(demandFrame()));
    }

    @ParameterizedTest
    @MethodSource("garbage")
    void closesOnMalformedInputWithOneLogLine(byte[] bytes) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(bytes);

            awaitClose(socket);
        }
        assertEquals(1, log.lines.size(), log.lines.toString());
        assertTrue(serverListener.events.stream().noneMatch(event -> event.startsWith("frame")));
    }

    @Test
    void ignoresUnknownBody() throws Exception {
        // The bytes added are a field with the unknown number 1001.
        byte[] frameWithUnknownBody = concatenate(
                Frame.newBuilder().setProtocolVersion(1).build().toByteArray(), new byte[] {(byte) 0xca, 0x3e, 1, 7});
        try (Socket socket = connect()) {
            socket.getOutputStream()
                    .write(withLengthPrefix(helloFrame("peer").build().toByteArray()));
            socket.getOutputStream().write(withLengthPrefix(frameWithUnknownBody));
            socket.getOutputStream().write(withLengthPrefix(demandFrame()));

            assertEquals("opened peer@1", serverListener.nextEvent());
            assertEquals("frame DEMAND", serverListener.nextEvent());
        }
        assertEquals(List.of(), log.lines);
    }

    @Test
    void reportsReplacedLinkBeforeNewLink() throws Exception {
        try (Socket earlier = connect();
                Socket later = connect()) {
            earlier.getOutputStream()
                    .write(withLengthPrefix(helloFrame("peer").build().toByteArray()));
            assertEquals("opened peer@1", serverListener.nextEvent());

            later.getOutputStream()
                    .write(withLengthPrefix(helloFrame("peer").build().toByteArray()));

            assertEquals("closed peer@1 replaced", serverListener.nextEvent());
            assertEquals("opened peer@1", serverListener.nextEvent());
            awaitClose(earlier);
            // A close with unread bytes would also reset the connection, which may be noticed first.
            later.shutdownOutput();
            assertEquals("closed peer@1 closed by peer", serverListener.nextEvent());
        }
    }

    @Test
    void sendsNothingOnReplacedLink() throws Exception {
        try (Socket earlier = connect();
                Socket later = connect()) {
            earlier.getOutputStream()
                    .write(withLengthPrefix(helloFrame("peer").build().toByteArray()));
            serverListener.nextEvent();
            later.getOutputStream()
                    .write(withLengthPrefix(helloFrame("peer").build().toByteArray()));
            serverListener.nextEvent();
            serverListener.nextEvent();

            Link replaced = serverListener.links.getFirst();

            assertFalse(replaced.send(Frame.newBuilder().setDemand(Demand.getDefaultInstance())));
        }
    }

    @Test
    void closesAndReopensSilentLink() throws Exception {
        RecordingListener clientListener = new RecordingListener();
        byte[] hello = withLengthPrefix(helloFrame("peer").build().toByteArray());
        try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.getByName(LOOPBACK))) {
            LinkEndpoint endpoint = newEndpoint("client", clientListener, Duration.ofSeconds(1));
            endpoint.connect(LOOPBACK + ":" + silent.getLocalPort());
            try (Socket first = silent.accept()) {
                first.getOutputStream().write(hello);
                assertEquals("opened peer@1", clientListener.nextEvent());

                assertEquals("closed peer@1 silent", clientListener.nextEvent());
                // The endpoint has opened the link again.
                silent.accept().close();
            }
        }
    }

    @Test
    void heartbeatsKeepIdleLinkOpen() throws Exception {
        RecordingListener clientListener = new RecordingListener();
        LinkEndpoint client = newEndpoint("client", clientListener, Duration.ofSeconds(1));
        client.connect(LOOPBACK + ":" + address.getPort());
        assertEquals("opened server@1", clientListener.nextEvent());
        assertEquals("opened client@1", serverListener.nextEvent());
        // Every received frame, heartbeats included, reports a table version.
        int countBefore = clientListener.receivedTableVersions.size();

        await(clientListener.receivedTableVersions, versions -> versions.size() >= countBefore + 20);

        assertEquals(1, client.openLinkCount());
        assertTrue(clientListener.events.isEmpty());
    }

    @Test
    void reopensLinkClosedByPeer() throws Exception {
        RecordingListener clientListener = new RecordingListener();
        newEndpoint("client", clientListener, Duration.ofMinutes(1)).connect(LOOPBACK + ":" + address.getPort());
        clientListener.nextEvent();
        serverListener.nextEvent();

        serverListener.links.getFirst().close();

        assertEquals("closed server@1 closed by peer", clientListener.nextEvent());
        assertEquals("opened server@1", clientListener.nextEvent());
    }

    @Test
    void opensNewLinkAfterDisconnectAndConnect() throws Exception {
        RecordingListener clientListener = new RecordingListener();
        LinkEndpoint client = newEndpoint("client", clientListener, Duration.ofMinutes(1));
        String target = LOOPBACK + ":" + address.getPort();
        client.connect(target);
        clientListener.nextEvent();

        client.disconnect(target);
        client.connect(target);

        assertTrue(clientListener.nextEvent().startsWith("closed server@1"));
        assertEquals("opened server@1", clientListener.nextEvent());
        assertEquals("opened client@1", serverListener.nextEvent());
        client.disconnect(target);
        assertTrue(clientListener.nextEvent().startsWith("closed server@1"));
        assertEquals(0, client.openLinkCount());
    }

    @Test
    void closeDeliversQueuedFramesAndNothingElse() throws Exception {
        RecordingListener clientListener = new RecordingListener();
        LinkEndpoint client = newEndpoint("client", clientListener, Duration.ofMinutes(1));
        client.connect(LOOPBACK + ":" + address.getPort());
        clientListener.nextEvent();
        assertEquals("opened client@1", serverListener.nextEvent());
        for (int frame = 0; frame < QUEUED_FRAMES; frame++) {
            assertTrue(clientListener.links.getFirst().send(Frame.newBuilder().setDemand(Demand.getDefaultInstance())));
        }

        client.close();

        for (int frame = 0; frame < QUEUED_FRAMES; frame++) {
            assertEquals("frame DEMAND", serverListener.nextEvent());
        }
        assertEquals("closed client@1 closed by peer", serverListener.nextEvent());
        assertEquals(List.of(), log.lines);
    }

    private LinkEndpoint newEndpoint(String name, LinkListener listener, Duration silenceTimeout) {
        Peer self = new Peer(new ProcessId(name, 1), Role.ROLE_ENTRY, "zone", "");
        LinkEndpointSettings settings = new LinkEndpointSettings(
                self,
                /* heartbeatInterval= */ Duration.ofMillis(20),
                silenceTimeout,
                /* reconnectDelay= */ Duration.ofMillis(20),
                MAXIMUM_FRAME_BYTES);
        LinkEndpoint endpoint = new LinkEndpoint(settings, (TableVersionExchange) listener, listener);
        endpoints.add(endpoint);
        return endpoint;
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(LOOPBACK, address.getPort());
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(MAXIMUM_WAIT_SECONDS));
        return socket;
    }

    /** Reads until the other end closes or resets the connection. */
    private static void awaitClose(Socket socket) {
        try {
            while (socket.getInputStream().read() >= 0) {
                // Discards hello and heartbeats.
            }
        } catch (java.net.SocketTimeoutException e) {
            throw new AssertionError("not closed", e);
        } catch (IOException e) {
            // A reset connection is closed, too.
        }
    }

    private static <T> void await(T value, Predicate<T> condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(MAXIMUM_WAIT_SECONDS);
        while (!condition.test(value)) {
            assertTrue(System.nanoTime() < deadline, "condition not met");
            Thread.sleep(1);
        }
    }

    private static Frame.Builder helloFrame(String name) {
        return Frame.newBuilder()
                .setProtocolVersion(1)
                .setHello(Hello.newBuilder()
                        .setProcess(io.caperturn.wire.message.ProcessIdentity.newBuilder()
                                .setName(name)
                                .setIncarnation(1))
                        .setRole(Role.ROLE_SIDECAR));
    }

    private static byte[] demandFrame() {
        return Frame.newBuilder()
                .setProtocolVersion(1)
                .setDemand(Demand.newBuilder().setDemand(3))
                .build()
                .toByteArray();
    }

    private static byte[] withLengthPrefix(byte[] frame) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream output = new DataOutputStream(bytes);
        output.writeInt(frame.length);
        output.write(frame);
        return bytes.toByteArray();
    }

    private static byte[] concatenate(byte[]... arrays) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (byte[] array : arrays) {
            bytes.write(array);
        }
        return bytes.toByteArray();
    }

    /** Listener that records its calls as events, and the table versions of received frames. */
    private static final class RecordingListener implements LinkListener, TableVersionExchange {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        private final BlockingQueue<Long> receivedTableVersions = new LinkedBlockingQueue<>();
        private final List<Link> links = new java.util.concurrent.CopyOnWriteArrayList<>();

        private String nextEvent() throws InterruptedException {
            String event = events.poll(MAXIMUM_WAIT_SECONDS, TimeUnit.SECONDS);
            assertNotNull(event, "no event received");
            return event;
        }

        @Override
        public void onOpened(Link link) {
            links.add(link);
            events.add("opened " + link.peer().process());
        }

        @Override
        public void onFrame(Link link, Frame frame) {
            events.add("frame " + frame.getBodyCase());
        }

        @Override
        public void onClosed(Link link, String reason) {
            events.add("closed " + link.peer().process() + " " + reason);
        }

        @Override
        public long tableVersion() {
            return 0;
        }

        @Override
        public long confirmationAgeMilliseconds() {
            return -1;
        }

        @Override
        public void onTableVersion(Link link, long tableVersion, long confirmationAgeMilliseconds) {
            receivedTableVersions.add(tableVersion);
        }
    }

    /** Handler that records the lines that links log at level INFO or above. */
    private static final class LogRecorder extends Handler {
        private final List<String> lines = new java.util.concurrent.CopyOnWriteArrayList<>();
        private final Logger logger = Logger.getLogger("io.caperturn.wire");

        private void attach() {
            logger.addHandler(this);
        }

        private void detach() {
            logger.removeHandler(this);
        }

        @Override
        public void publish(LogRecord record) {
            if (record.getLevel().intValue() >= java.util.logging.Level.INFO.intValue()) {
                lines.add(record.getMessage());
            }
        }

        @Override
        public void flush() {
            // There is no buffer.
        }

        @Override
        public void close() {
            // There is nothing to close.
        }
    }
}
