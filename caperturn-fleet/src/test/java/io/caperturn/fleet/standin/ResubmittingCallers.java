package io.caperturn.fleet.standin;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiFunction;
import java.util.function.ToIntFunction;

/**
 * Callers that submit jobs which are not stored, and submit a job again after a broken connection, no response by the
 * deadline, or the status 502 or 504. They wait a fixed time before that.
 */
final class ResubmittingCallers {
    private static final long RESUBMISSION_DELAY_MILLISECONDS = 1_300;
    private static final int MAX_ATTEMPTS = 5;
    private static final int CONNECT_TIMEOUT_MILLISECONDS = 1_000;
    /** Status of an attempt without a response. */
    private static final int NO_RESPONSE = 0;

    private static final int BAD_GATEWAY = 502;
    private static final int GATEWAY_TIMEOUT = 504;

    private final int deadlineMilliseconds;
    private final ToIntFunction<String> ports;
    private final BiFunction<Job, Integer, String> entrySelector;
    private final Map<Socket, String> openConnections = new ConcurrentHashMap<>();
    private final Set<Thread> threads = ConcurrentHashMap.newKeySet();
    private final AtomicInteger resubmissions = new AtomicInteger();
    private final AtomicInteger completed = new AtomicInteger();
    private volatile boolean stopped;

    /**
     * Creates callers.
     *
     * @param deadlineMilliseconds time for which they wait for a response
     * @param ports finds the port of an entry for callers
     * @param entrySelector selects the entry of each attempt, numbered from 0
     */
    ResubmittingCallers(
            int deadlineMilliseconds, ToIntFunction<String> ports, BiFunction<Job, Integer, String> entrySelector) {
        this.deadlineMilliseconds = deadlineMilliseconds;
        this.ports = ports;
        this.entrySelector = entrySelector;
    }

    /** Job of equal tasks. */
    record Job(String identity, int tasks, long taskMilliseconds) {
        private byte[] body() {
            Map<String, Object> step = new LinkedHashMap<>();
            step.put("count", tasks);
            step.put("cpu", 1_600);
            step.put("memMb", 64);
            step.put("estimatedMs", taskMilliseconds);
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("spec", StandInExecutor.specification(taskMilliseconds));
            body.put("bestEffort", true);
            body.put("steps", List.of(step));
            return StandInHttpServer.write(body);
        }
    }

    /** Submits a job on a thread of its own, until it has an answer. */
    void submit(Job job) {
        threads.add(Thread.ofVirtual().start(() -> callUntilAnswered(job)));
    }

    private void callUntilAnswered(Job job) {
        try {
            for (int attempt = 0; attempt < MAX_ATTEMPTS && !stopped; attempt++) {
                if (attempt > 0) {
                    resubmissions.incrementAndGet();
                }
                int status = call(entrySelector.apply(job, attempt), job);
                if (status == 200) {
                    completed.incrementAndGet();
                }
                if (status != NO_RESPONSE && status != BAD_GATEWAY && status != GATEWAY_TIMEOUT) {
                    return;
                }
                Thread.sleep(RESUBMISSION_DELAY_MILLISECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns the status of the response, or {@link #NO_RESPONSE}. */
    private int call(String entry, Job job) {
        long deadlineNanoseconds = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(deadlineMilliseconds);
        try (Socket socket = new Socket()) {
            openConnections.put(socket, entry);
            try {
                socket.connect(
                        new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.applyAsInt(entry)),
                        CONNECT_TIMEOUT_MILLISECONDS);
                byte[] body = job.body();
                String head = "POST /jobs/" + job.identity() + " HTTP/1.1\r\nHost: " + StandInDeployment.HOST
                        + "\r\nContent-Type: application/json\r\nRequest-Deadline-Ms: " + deadlineMilliseconds
                        + "\r\nContent-Length: " + body.length + "\r\n\r\n";
                byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
                byte[] request = new byte[headBytes.length + body.length];
                System.arraycopy(headBytes, 0, request, 0, headBytes.length);
                System.arraycopy(body, 0, request, headBytes.length, body.length);
                socket.getOutputStream().write(request);
                return readStatus(socket, deadlineNanoseconds);
            } finally {
                openConnections.remove(socket);
            }
        } catch (IOException e) {
            return NO_RESPONSE;
        }
    }

    private static int readStatus(Socket socket, long deadlineNanoseconds) throws IOException {
        InputStream input = socket.getInputStream();
        StringBuilder text = new StringBuilder();
        while (text.indexOf("\r\n\r\n") < 0) {
            long remaining = TimeUnit.NANOSECONDS.toMillis(deadlineNanoseconds - System.nanoTime());
            if (remaining <= 0) {
                return NO_RESPONSE;
            }
            socket.setSoTimeout((int) remaining);
            int next = input.read();
            if (next < 0) {
                return NO_RESPONSE;
            }
            text.append((char) next);
        }
        // The status follows the version: HTTP/1.1 200 OK.
        return Integer.parseInt(text.substring(9, 12));
    }

    /** Resets the connections of all callers that wait at an entry. */
    void resetConnections(String entry) {
        openConnections.forEach((socket, node) -> {
            if (node.equals(entry)) {
                TcpProxy.resetSocket(socket);
            }
        });
    }

    /** Waits until all callers have an answer or have given up. */
    void awaitAnswers() throws InterruptedException {
        for (Thread thread : new ArrayList<>(threads)) {
            thread.join();
        }
    }

    /** Ends all callers, also those without an answer. */
    void stop() {
        stopped = true;
        openConnections.keySet().forEach(TcpProxy::resetSocket);
        threads.forEach(Thread::interrupt);
    }

    /** Returns how many jobs were submitted again. */
    int resubmissions() {
        return resubmissions.get();
    }

    /** Returns how many jobs were answered with their result. */
    int completed() {
        return completed.get();
    }
}
