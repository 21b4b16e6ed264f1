package io.caperturn.review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * Proxy that forwards connections until it is cut. A silent cut loses what is sent on connections that exist then or are
 * opened during the cut, and they stay silent for good; a cut with resets resets them. Later connections work.
 */
final class CuttableProxy {
    private final ServerSocket listener;
    private final InetSocketAddress target;
    /** Number of beginnings and ends of cuts so far; odd during a cut. */
    private volatile int phase;

    /** Number of cuts that last. */
    private int cuts;

    private volatile boolean resetting;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    /** Outbound connections by the inbound ones that they belong to. */
    private final Map<Socket, Socket> pairs = new ConcurrentHashMap<>();

    CuttableProxy(InetSocketAddress address, InetSocketAddress target) throws IOException {
        this.target = target;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(address, 200);
        run(this::accept);
    }

    synchronized void cut() {
        if (cuts++ == 0) {
            phase++;
        }
    }

    synchronized void cutWithResets() {
        resetting = true;
        cut();
        connections.forEach(CuttableProxy::reset);
        connections.clear();
    }

    /** Resets some of the connections; returns their number and that of all. */
    synchronized int[] resetSome(double share) {
        List<Socket> inbound = List.copyOf(pairs.keySet());
        int count = (int) (share * inbound.size());
        for (Socket socket : inbound.subList(0, count)) {
            reset(pairs.remove(socket));
            reset(socket);
        }
        return new int[] {count, inbound.size()};
    }

    synchronized void heal() {
        if (--cuts == 0) {
            resetting = false;
            phase++;
        }
    }

    private static void run(Runnable action) {
        Thread thread = new Thread(action, "proxy");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket inbound = listener.accept();
                int opened = phase;
                run(() -> serve(inbound, opened));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket inbound, int opened) {
        try {
            inbound.setTcpNoDelay(true);
            if (opened % 2 == 1 && resetting) {
                reset(inbound);
                return;
            }
            if (opened % 2 == 1) {
                inbound.getInputStream().transferTo(OutputStream.nullOutputStream());
                inbound.close();
                return;
            }
            Socket outbound = new Socket(target.getAddress(), target.getPort());
            outbound.setTcpNoDelay(true);
            pairs.put(inbound, outbound);
            connections.add(inbound);
            connections.add(outbound);
            run(() -> forward(outbound, inbound, opened));
            forward(inbound, outbound, opened);
        } catch (IOException e) {
            close(inbound);
        }
    }

    private void forward(Socket from, Socket to, int opened) {
        byte[] buffer = new byte[65_536];
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            for (int count = input.read(buffer); count >= 0; count = input.read(buffer)) {
                if (phase == opened) {
                    output.write(buffer, 0, count);
                    output.flush();
                }
            }
        } catch (IOException e) {
            // The end of a connection is passed on below.
        }
        connections.remove(from);
        pairs.remove(from);
        close(from);
        // The other side learns nothing of the end of a connection that is cut.
        if (phase == opened) {
            close(to);
        }
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }

    private static void close(Socket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            // It is closed already.
        }
    }
}
