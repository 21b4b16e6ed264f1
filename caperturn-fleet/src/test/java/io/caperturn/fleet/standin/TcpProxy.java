package io.caperturn.fleet.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Proxy of the TCP connections to one port of the loopback interface, which breaks or silences connections on demand.
 *
 * <p>The peer of a connection is the process that opened it; the target is the one that accepted it.
 */
final class TcpProxy implements AutoCloseable {
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;
    private static final int BUFFER_BYTES = 16_384;

    private final ServerSocket listener;
    private final int targetPort;
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();

    /** Part of the bytes that a connection passes on. */
    enum Flow {
        /** All bytes are passed on. */
        BOTH_WAYS,
        /** Only bytes to the target are passed on, the others are lost. */
        TO_TARGET,
        /** Only bytes from the target are passed on, the others are lost. */
        FROM_TARGET,
        /** All bytes are lost, and an end learns that the other resets the connection, but not that it closes it. */
        RESETS_ONLY,
        /** All bytes are lost, and neither end learns that the other closes or resets the connection. */
        NONE
    }

    TcpProxy(int targetPort) throws IOException {
        this.targetPort = targetPort;
        this.listener = new ServerSocket(/* port= */ 0, /* backlog= */ 256, InetAddress.getLoopbackAddress());
        Thread.ofVirtual().start(this::accept);
    }

    int port() {
        return listener.getLocalPort();
    }

    private void accept() {
        while (!listener.isClosed()) {
            try {
                Connection connection = new Connection(listener.accept());
                connections.add(connection);
                Thread.ofVirtual().start(connection::open);
            } catch (IOException e) {
                // The proxy is closed.
            }
        }
    }

    /** Resets all connections. */
    void resetAll() {
        connections.forEach(Connection::reset);
    }

    /** Resets the connections whose peer sent a text first, such as its name. */
    void resetFrom(String greeting) {
        connections.stream()
                .filter(connection -> connection.greeting.contains(greeting))
                .forEach(Connection::reset);
    }

    /** Restricts the open connections for good; later connections pass all bytes on. */
    void restrictAll(Flow flow) {
        connections.forEach(connection -> connection.flow = flow);
    }

    private final class Connection {
        private final Socket peer;
        private final Socket target = new Socket();
        private volatile Flow flow = Flow.BOTH_WAYS;
        /** First bytes from the peer. */
        private volatile String greeting = "";

        Connection(Socket peer) {
            this.peer = peer;
        }

        void open() {
            try {
                peer.setTcpNoDelay(true);
                target.setTcpNoDelay(true);
                target.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), targetPort),
                        CONNECT_TIMEOUT_MILLISECONDS);
            } catch (IOException e) {
                reset();
                return;
            }
            Thread.ofVirtual().start(() -> copy(target, peer, Flow.FROM_TARGET));
            copy(peer, target, Flow.TO_TARGET);
        }

        private void copy(Socket source, Socket destination, Flow direction) {
            byte[] buffer = new byte[BUFFER_BYTES];
            try {
                for (int count = source.getInputStream().read(buffer);
                        count >= 0;
                        count = source.getInputStream().read(buffer)) {
                    if (direction == Flow.TO_TARGET && greeting.isEmpty()) {
                        greeting = new String(buffer, 0, count, StandardCharsets.ISO_8859_1);
                    }
                    if (flow == Flow.BOTH_WAYS || flow == direction) {
                        destination.getOutputStream().write(buffer, 0, count);
                    }
                }
                if (flow == Flow.BOTH_WAYS || flow == direction) {
                    peer.close();
                    target.close();
                    connections.remove(this);
                }
            } catch (IOException e) {
                if (flow == Flow.BOTH_WAYS || flow == direction || flow == Flow.RESETS_ONLY) {
                    reset();
                }
            }
        }

        void reset() {
            connections.remove(this);
            resetSocket(peer);
            resetSocket(target);
        }
    }

    /** Closes a socket so that its other end sees a reset. */
    static void resetSocket(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // The socket is closed already.
        }
        try {
            socket.close();
        } catch (IOException e) {
            // The socket is closed already.
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        resetAll();
    }
}
