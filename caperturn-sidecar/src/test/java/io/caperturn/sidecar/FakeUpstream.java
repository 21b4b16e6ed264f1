package io.caperturn.sidecar;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.util.Callback;

/** Upstream in the test's own process that keeps its own record of starts. */
public final class FakeUpstream implements AutoCloseable {
    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server, 1, 1);
    private final List<String> starts = new CopyOnWriteArrayList<>();
    private final List<String> aborts = new CopyOnWriteArrayList<>();
    private final List<Integer> clientPorts = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService later = Executors.newSingleThreadScheduledExecutor();
    private final Map<String, Runnable> held = new ConcurrentHashMap<>();
    private final AtomicReference<Answer> answer = new AtomicReference<>(Answer.RESULT);
    private volatile Duration runTime = Duration.ZERO;

    /** How it answers a task. */
    public enum Answer {
        /** With the payload as result. */
        RESULT,
        /** With a redirect to the same place. */
        REDIRECT,
        /** With a challenge for authentication. */
        CHALLENGE,
        /** With status 503. */
        BUSY,
        /** By closing the connection. */
        CLOSE,
        /** Not until {@link #release}. */
        HOLD
    }

    /**
     * Starts it on a free port.
     *
     * @throws Exception if it can't listen
     */
    public FakeUpstream() throws Exception {
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new Tasks());
        server.start();
    }

    /**
     * Returns where it listens.
     *
     * @return the address as {@code host:port}
     */
    public String address() {
        return "127.0.0.1:" + connector.getLocalPort();
    }

    /**
     * Chooses how it answers from now on.
     *
     * @param next the way
     */
    public void answerWith(Answer next) {
        answer.set(next);
    }

    /**
     * Makes each task run for a time.
     *
     * @param time how long
     */
    public void runFor(Duration time) {
        runTime = time;
    }

    /**
     * Returns its record of starts.
     *
     * @return submission, task and attempt of each start, in order
     */
    public List<String> starts() {
        return starts;
    }

    /**
     * Returns its record of aborts.
     *
     * @return the path of each
     */
    public List<String> aborts() {
        return aborts;
    }

    /**
     * Returns the client's port of each start, which tells connections apart.
     *
     * @return the ports, in order
     */
    public List<Integer> clientPorts() {
        return clientPorts;
    }

    /** Answers all that is held. */
    public void release() {
        List.copyOf(held.keySet()).forEach(key -> held.remove(key).run());
    }

    @Override
    public void close() {
        later.shutdownNow();
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("server did not stop", e);
        }
    }

    private final class Tasks extends Handler.Abstract {
        @Override
        public boolean handle(Request request, Response response, Callback callback) throws Exception {
            if ("DELETE".equals(request.getMethod())) {
                aborts.add(Request.getPathInContext(request));
                response.setStatus(204);
                callback.succeeded();
                return true;
            }
            String payload = Content.Source.asString(request, StandardCharsets.UTF_8);
            String start = request.getHeaders().get("Caperturn-Submission") + " "
                    + request.getHeaders().get("Caperturn-Task") + " "
                    + request.getHeaders().get("Caperturn-Attempt");
            starts.add(start);
            clientPorts.add(Request.getRemotePort(request));
            respond(request, response, callback, start, payload);
            return true;
        }

        private void respond(Request request, Response response, Callback callback, String start, String payload) {
            switch (answer.get()) {
                case RESULT ->
                    later.schedule(
                            () -> write(response, callback, 200, payload), runTime.toMillis(), TimeUnit.MILLISECONDS);
                case REDIRECT -> {
                    response.getHeaders().put("Location", "/v1/tasks");
                    write(response, callback, 307, "");
                }
                case CHALLENGE -> {
                    response.getHeaders().put("WWW-Authenticate", "Basic realm=\"r\"");
                    write(response, callback, 401, "");
                }
                case BUSY -> write(response, callback, 503, "");
                case CLOSE ->
                    request.getConnectionMetaData()
                            .getConnection()
                            .getEndPoint()
                            .close();
                case HOLD -> held.put(start, () -> write(response, callback, 200, payload));
            }
        }
    }

    private static void write(Response response, Callback callback, int status, String body) {
        response.setStatus(status);
        response.write(true, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)), callback);
    }
}
