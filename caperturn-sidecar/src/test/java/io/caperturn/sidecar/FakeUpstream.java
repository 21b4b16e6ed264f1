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

/**
 * Fake upstream (server that runs tasks) that responds in the mode that a test sets, and records received starts and
 * aborts.
 */
public final class FakeUpstream implements AutoCloseable {
    private final Server server = new Server();
    private final ServerConnector connector = new ServerConnector(server, 1, 1);
    private final List<String> starts = new CopyOnWriteArrayList<>();
    private final List<String> aborts = new CopyOnWriteArrayList<>();
    private final List<Integer> clientPorts = new CopyOnWriteArrayList<>();
    private final ScheduledExecutorService responseTimer = Executors.newSingleThreadScheduledExecutor();
    private final Map<String, Runnable> heldResponses = new ConcurrentHashMap<>();
    private final AtomicReference<ResponseMode> responseMode = new AtomicReference<>(ResponseMode.RESULT);
    private volatile Duration runTime = Duration.ZERO;

    /** Response to a task. */
    public enum ResponseMode {
        /** Status 200 with the payload of the task as the result, after the run time. */
        RESULT,
        /** A redirect to the same path. */
        REDIRECT,
        /** An authentication challenge. */
        CHALLENGE,
        /** Status 503. */
        BUSY,
        /** No response; the connection is closed. */
        CLOSE,
        /** Status 200 with the payload, but only on {@link #releaseHeldResponses}. */
        HOLD
    }

    /**
     * Starts an upstream on a free port.
     *
     * @throws Exception if it can't listen
     */
    public FakeUpstream() throws Exception {
        connector.setHost("127.0.0.1");
        server.addConnector(connector);
        server.setHandler(new TaskHandler());
        server.start();
    }

    /**
     * Returns the address that the upstream listens on.
     *
     * @return the address as {@code host:port}
     */
    public String address() {
        return "127.0.0.1:" + connector.getLocalPort();
    }

    /**
     * Sets the response to tasks that are received from now on.
     *
     * @param mode the response
     */
    public void setResponseMode(ResponseMode mode) {
        responseMode.set(mode);
    }

    /**
     * Sets the run time of tasks in the mode {@code RESULT}.
     *
     * @param time the time between the request and its response
     */
    public void setRunTime(Duration time) {
        runTime = time;
    }

    /**
     * Returns the starts that were received.
     *
     * @return one text for each start, in the order of arrival: the values of the headers {@code Caperturn-Submission},
     *     {@code Caperturn-Task} and {@code Caperturn-Attempt}, separated by spaces. The last one holds the fencing
     *     token and the number of the attempt.
     */
    public List<String> starts() {
        return starts;
    }

    /**
     * Returns the aborts that were received.
     *
     * @return the request path of each abort
     */
    public List<String> aborts() {
        return aborts;
    }

    /**
     * Returns the client port of each start, which identifies its connection.
     *
     * @return the ports, in the order of the starts
     */
    public List<Integer> clientPorts() {
        return clientPorts;
    }

    /** Sends all responses that are held back. */
    public void releaseHeldResponses() {
        List.copyOf(heldResponses.keySet())
                .forEach(key -> heldResponses.remove(key).run());
    }

    @Override
    public void close() {
        responseTimer.shutdownNow();
        try {
            server.stop();
        } catch (Exception e) {
            throw new IllegalStateException("HTTP server of the fake upstream did not stop", e);
        }
    }

    private final class TaskHandler extends Handler.Abstract {
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
            switch (responseMode.get()) {
                case RESULT ->
                    responseTimer.schedule(
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
                case HOLD -> heldResponses.put(start, () -> write(response, callback, 200, payload));
            }
        }
    }

    private static void write(Response response, Callback callback, int status, String body) {
        response.setStatus(status);
        response.write(true, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)), callback);
    }
}
