package io.caperturn.testkit.relay;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.testkit.HostAndPort;
import io.caperturn.testkit.process.Conditions;
import io.caperturn.testkit.process.TestClient;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Tests the TCP relay with a target that echoes every byte. A muted connection stays open, while the relay drops the
 * bytes of one direction or both.
 */
class StandInRelayTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    /** Time without a byte after which a connection counts as silent. */
    private static final int SILENCE_MILLISECONDS = 1_000;

    private static final int END_OF_STREAM = -1;

    private final AtomicInteger bytesAtTarget = new AtomicInteger();
    private final TestClient client = new TestClient();
    private ServerSocket echoServer;
    private StandInRelay relay;

    @BeforeEach
    void start() throws IOException {
        echoServer = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread.ofPlatform().daemon().start(this::accept);
        // It listens, and accepts control requests, at any free port of the loopback interface.
        relay = new StandInRelay(
                HostAndPort.FREE_LOOPBACK_PORT,
                new HostAndPort("127.0.0.1", echoServer.getLocalPort()),
                HostAndPort.FREE_LOOPBACK_PORT);
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        relay.close();
        echoServer.close();
    }

    @Test
    void forwardsInBothDirections() throws IOException {
        try (Socket socket = connect()) {
            assertEquals('x', sendAndReadEcho(socket));
        }
    }

    @Test
    void cutClosesExistingConnections() throws IOException {
        try (Socket socket = connect()) {
            sendAndReadEcho(socket);
            relay.setMode(RelayMode.CUT);
            assertEquals(END_OF_STREAM, socket.getInputStream().read());
        }
    }

    @ParameterizedTest
    @EnumSource(names = {"SILENT", "TO_TARGET_ONLY", "TO_CLIENT_ONLY"})
    void mutedConnectionStaysOpenWithoutResponse(RelayMode mode) throws IOException {
        try (Socket socket = connect()) {
            sendAndReadEcho(socket);
            relay.setMode(mode);
            assertThrows(SocketTimeoutException.class, () -> sendAndReadEcho(socket));
        }
    }

    /** Silent mode mutes only the connections that exist when it is set. */
    @Test
    void silentModeForwardsNewConnections() throws IOException {
        try (Socket mutedSocket = connect()) {
            sendAndReadEcho(mutedSocket);
            relay.setMode(RelayMode.SILENT);
            try (Socket newSocket = connect()) {
                assertEquals('x', sendAndReadEcho(newSocket));
            }
        }
    }

    @Test
    void toTargetOnlyForwardsToTarget() throws IOException {
        relay.setMode(RelayMode.TO_TARGET_ONLY);
        try (Socket socket = connect()) {
            socket.getOutputStream().write('x');
            Conditions.await("the byte at the target", TIMEOUT, () -> bytesAtTarget.get() == 1);
        }
    }

    @Test
    void refuseClosesNewConnections() throws IOException {
        relay.setMode(RelayMode.REFUSE);
        try (Socket socket = connect()) {
            assertEquals(END_OF_STREAM, socket.getInputStream().read());
        }
    }

    @Test
    void delayAppliesToEachDirection() throws IOException {
        client.postControl(relay.controlAddress(), Map.of("delayMilliseconds", 50));
        try (Socket socket = connect()) {
            socket.setSoTimeout((int) TIMEOUT.toMillis());
            long startNanoseconds = System.nanoTime();
            sendAndReadEcho(socket);
            assertTrue(Duration.ofNanos(System.nanoTime() - startNanoseconds).toMillis() >= 100);
        }
    }

    /** Sends {@code x} and returns the byte received. */
    private int sendAndReadEcho(Socket socket) throws IOException {
        socket.getOutputStream().write('x');
        return socket.getInputStream().read();
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(relay.address().host(), relay.address().port());
        socket.setSoTimeout(SILENCE_MILLISECONDS);
        return socket;
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = echoServer.accept();
                Thread.ofPlatform().daemon().start(() -> echo(socket));
            }
        } catch (IOException e) {
            // Thrown when the test closes the server.
        }
    }

    private void echo(Socket socket) {
        try (socket) {
            int value = socket.getInputStream().read();
            while (value != END_OF_STREAM) {
                bytesAtTarget.incrementAndGet();
                socket.getOutputStream().write(value);
                value = socket.getInputStream().read();
            }
        } catch (IOException e) {
            // Thrown when the relay closes the connection.
        }
    }
}
