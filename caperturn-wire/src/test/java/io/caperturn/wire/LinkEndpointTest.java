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

/** Tests of links against a peer that sends raw bytes, and between two endpoints. */
class LinkEndpointTest {
    private static final int MAXIMUM_FRAME_BYTES = 1_024;
    private static final int WAIT_SECONDS = 10;
    private static final int QUEUED_FRAMES = 1_000;
    private static final String LOOPBACK = "127.0.0.1";

    private final Recorder recorder = new Recorder();
    private final List<LinkEndpoint> endpoints = new ArrayList<>();
    private final LogRecorder log = new LogRecorder();
    private InetSocketAddress address;

    @BeforeEach
    void listen() throws IOException {
        log.attach();
        address = endpoint("server", recorder, Duration.ofMinutes(1)).listen(LOOPBACK, 0);
    }

    @AfterEach
    void close() {
        endpoints.forEach(LinkEndpoint::close);
        log.detach();
    }

    static Stream<byte[]> garbage() throws IOException {
        byte[] invalidBytes = {(byte) 0xff, (byte) 0xff, (byte) 0xff, 1};
        return Stream.of(
                framed(invalidBytes),
                concat(framed(invalidBytes), framed(invalidBytes)),
                concat(framed(hello("peer").build().toByteArray()), framed(invalidBytes), framed(demand())),
                "GET / HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(),
                new byte[] {0x7f, 0, 0, 0},
                new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff, 1, 2, 3, 4},
                framed(new byte[MAXIMUM_FRAME_BYTES + 1]),
                concat(framed(new byte[MAXIMUM_FRAME_BYTES + 1]), framed(demand()), framed(demand())),
                framed(hello("peer").setProtocolVersion(99).build().toByteArray()),
                framed(hello("").build().toByteArray()),
                framed(demand()));
    }

    @ParameterizedTest
    @MethodSource("garbage")
    void closesOnMalformedInputWithOneLogLine(byte[] bytes) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(bytes);

            awaitClose(socket);
        }
        assertEquals(1, log.lines.size(), log.lines.toString());
        assertTrue(recorder.events.stream().noneMatch(event -> event.startsWith("frame")));
    }

    @Test
    void ignoresUnknownBody() throws Exception {
        byte[] unknownBody = concat(
                Frame.newBuilder().setProtocolVersion(1).build().toByteArray(), new byte[] {(byte) 0xca, 0x3e, 1, 7});
        try (Socket socket = connect()) {
            socket.getOutputStream().write(framed(hello("peer").build().toByteArray()));
            socket.getOutputStream().write(framed(unknownBody));
            socket.getOutputStream().write(framed(demand()));

            assertEquals("opened peer@1", recorder.next());
            assertEquals("frame DEMAND", recorder.next());
        }
        assertEquals(List.of(), log.lines);
    }

    @Test
    void reportsReplacedLinkBeforeNewLink() throws Exception {
        try (Socket earlier = connect();
                Socket later = connect()) {
            earlier.getOutputStream().write(framed(hello("peer").build().toByteArray()));
            assertEquals("opened peer@1", recorder.next());

            later.getOutputStream().write(framed(hello("peer").build().toByteArray()));

            assertEquals("closed peer@1 replaced", recorder.next());
            assertEquals("opened peer@1", recorder.next());
            awaitClose(earlier);
        }
        assertEquals("closed peer@1 closed by peer", recorder.next());
    }

    @Test
    void sendsNothingOnReplacedLink() throws Exception {
        try (Socket earlier = connect();
                Socket later = connect()) {
            earlier.getOutputStream().write(framed(hello("peer").build().toByteArray()));
            recorder.next();
            later.getOutputStream().write(framed(hello("peer").build().toByteArray()));
            recorder.next();
            recorder.next();

            Link replaced = recorder.links.getFirst();

            assertFalse(replaced.send(Frame.newBuilder().setDemand(Demand.getDefaultInstance())));
        }
    }

    @Test
    void closesAndReopensSilentLink() throws Exception {
        Recorder opener = new Recorder();
        byte[] greeting = framed(hello("peer").build().toByteArray());
        try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.getByName(LOOPBACK))) {
            LinkEndpoint endpoint = endpoint("client", opener, Duration.ofSeconds(1));
            endpoint.connect(LOOPBACK + ":" + silent.getLocalPort());
            try (Socket first = silent.accept()) {
                first.getOutputStream().write(greeting);
                assertEquals("opened peer@1", opener.next());

                assertEquals("closed peer@1 silent", opener.next());
                silent.accept().close();
            }
        }
    }

    @Test
    void heartbeatsKeepIdleLinkOpen() throws Exception {
        Recorder opener = new Recorder();
        LinkEndpoint client = endpoint("client", opener, Duration.ofSeconds(1));
        client.connect(LOOPBACK + ":" + address.getPort());
        assertEquals("opened server@1", opener.next());
        assertEquals("opened client@1", recorder.next());
        int before = opener.observed.size();

        await(opener.observed, seen -> seen.size() >= before + 20);

        assertEquals(1, client.openLinkCount());
        assertTrue(opener.events.isEmpty());
    }

    @Test
    void reopensLinkClosedByPeer() throws Exception {
        Recorder opener = new Recorder();
        endpoint("client", opener, Duration.ofMinutes(1)).connect(LOOPBACK + ":" + address.getPort());
        opener.next();
        recorder.next();

        recorder.links.getFirst().close();

        assertEquals("closed server@1 closed by peer", opener.next());
        assertEquals("opened server@1", opener.next());
    }

    @Test
    void opensNewLinkAfterDisconnectAndConnect() throws Exception {
        Recorder opener = new Recorder();
        LinkEndpoint client = endpoint("client", opener, Duration.ofMinutes(1));
        String target = LOOPBACK + ":" + address.getPort();
        client.connect(target);
        opener.next();

        client.disconnect(target);
        client.connect(target);

        assertTrue(opener.next().startsWith("closed server@1"));
        assertEquals("opened server@1", opener.next());
        assertEquals("opened client@1", recorder.next());
        client.disconnect(target);
        assertTrue(opener.next().startsWith("closed server@1"));
        assertEquals(0, client.openLinkCount());
    }

    @Test
    void closeDeliversQueuedFramesAndNothingElse() throws Exception {
        Recorder opener = new Recorder();
        LinkEndpoint client = endpoint("client", opener, Duration.ofMinutes(1));
        client.connect(LOOPBACK + ":" + address.getPort());
        opener.next();
        assertEquals("opened client@1", recorder.next());
        for (int frame = 0; frame < QUEUED_FRAMES; frame++) {
            assertTrue(opener.links.getFirst().send(Frame.newBuilder().setDemand(Demand.getDefaultInstance())));
        }

        client.close();

        for (int frame = 0; frame < QUEUED_FRAMES; frame++) {
            assertEquals("frame DEMAND", recorder.next());
        }
        assertEquals("closed client@1 closed by peer", recorder.next());
        assertEquals(List.of(), log.lines);
    }

    private LinkEndpoint endpoint(String name, LinkListener listener, Duration silenceTimeout) {
        Peer self = new Peer(new ProcessId(name, 1), Role.ROLE_ENTRY, "zone", "");
        LinkSettings settings = new LinkSettings(
                self, Duration.ofMillis(20), silenceTimeout, Duration.ofMillis(20), MAXIMUM_FRAME_BYTES);
        LinkEndpoint endpoint = new LinkEndpoint(settings, (TableVersionExchange) listener, listener);
        endpoints.add(endpoint);
        return endpoint;
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(LOOPBACK, address.getPort());
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(WAIT_SECONDS));
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
        long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.test(value)) {
            assertTrue(System.nanoTime() < end, "condition not met");
            Thread.sleep(1);
        }
    }

    private static Frame.Builder hello(String name) {
        return Frame.newBuilder()
                .setProtocolVersion(1)
                .setHello(Hello.newBuilder()
                        .setProcess(io.caperturn.wire.message.ProcessIdentity.newBuilder()
                                .setName(name)
                                .setIncarnation(1))
                        .setRole(Role.ROLE_SIDECAR));
    }

    private static byte[] demand() {
        return Frame.newBuilder()
                .setProtocolVersion(1)
                .setDemand(Demand.newBuilder().setDemand(3))
                .build()
                .toByteArray();
    }

    private static byte[] framed(byte[] body) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream output = new DataOutputStream(bytes);
        output.writeInt(body.length);
        output.write(body);
        return bytes.toByteArray();
    }

    private static byte[] concat(byte[]... parts) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        for (byte[] part : parts) {
            bytes.write(part);
        }
        return bytes.toByteArray();
    }

    /** Listener that records its calls. */
    private static final class Recorder implements LinkListener, TableVersionExchange {
        private final BlockingQueue<String> events = new LinkedBlockingQueue<>();
        private final BlockingQueue<Long> observed = new LinkedBlockingQueue<>();
        private final List<Link> links = new java.util.concurrent.CopyOnWriteArrayList<>();

        private String next() throws InterruptedException {
            String event = events.poll(WAIT_SECONDS, TimeUnit.SECONDS);
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
            observed.add(tableVersion);
        }
    }

    /** Recorder of the lines that links log at level INFO or above. */
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
