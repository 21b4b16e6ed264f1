package io.caperturn.sidecar.measurement;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** Relay of TCP connections that counts the bytes each way, without the headers of TCP and IP. */
final class CountingRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 64 * 1024;

    private final ServerSocket server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final String target;
    private final AtomicLong toTarget = new AtomicLong();
    private final AtomicLong toClient = new AtomicLong();

    CountingRelay(String target) throws IOException {
        this.target = target;
        Thread.ofPlatform().daemon().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    long bytesToTarget() {
        return toTarget.get();
    }

    long bytesToClient() {
        return toClient.get();
    }

    @Override
    public void close() throws IOException {
        server.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket client = server.accept();
                int colon = target.lastIndexOf(':');
                Socket onward = new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
                client.setTcpNoDelay(true);
                onward.setTcpNoDelay(true);
                Thread.ofPlatform().daemon().start(() -> pass(client, onward, toTarget));
                Thread.ofPlatform().daemon().start(() -> pass(onward, client, toClient));
            }
        } catch (IOException e) {
            // closed by the measurement
        }
    }

    private static void pass(Socket from, Socket to, AtomicLong count) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int read = in.read(buffer);
            while (read >= 0) {
                out.write(buffer, 0, read);
                count.addAndGet(read);
                read = in.read(buffer);
            }
        } catch (IOException e) {
            // one end closed; so does the other
        }
    }
}
