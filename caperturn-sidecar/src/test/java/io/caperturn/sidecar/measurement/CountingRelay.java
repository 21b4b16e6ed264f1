package io.caperturn.sidecar.measurement;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicLong;

/** TCP proxy that counts the payload bytes in each direction, without the headers of TCP and IP. */
final class CountingRelay implements AutoCloseable {
    private static final int BUFFER_BYTES = 64 * 1024;

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final String target;
    private final AtomicLong bytesToTargetCount = new AtomicLong();
    private final AtomicLong bytesToClientCount = new AtomicLong();

    CountingRelay(String target) throws IOException {
        this.target = target;
        Thread.ofPlatform().daemon().start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    long bytesToTarget() {
        return bytesToTargetCount.get();
    }

    long bytesToClient() {
        return bytesToClientCount.get();
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }

    private void accept() {
        try {
            while (true) {
                Socket client = listener.accept();
                int colon = target.lastIndexOf(':');
                Socket targetSocket =
                        new Socket(target.substring(0, colon), Integer.parseInt(target.substring(colon + 1)));
                client.setTcpNoDelay(true);
                targetSocket.setTcpNoDelay(true);
                Thread.ofPlatform().daemon().start(() -> forward(client, targetSocket, bytesToTargetCount));
                Thread.ofPlatform().daemon().start(() -> forward(targetSocket, client, bytesToClientCount));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private static void forward(Socket from, Socket to, AtomicLong count) {
        byte[] buffer = new byte[BUFFER_BYTES];
        try (from;
                to) {
            InputStream in = from.getInputStream();
            OutputStream out = to.getOutputStream();
            int readBytes = in.read(buffer);
            while (readBytes >= 0) {
                out.write(buffer, 0, readBytes);
                count.addAndGet(readBytes);
                readBytes = in.read(buffer);
            }
        } catch (IOException e) {
            // One side closed its connection; the other one is closed with it.
        }
    }
}
