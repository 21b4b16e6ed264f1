package io.caperturn.testkit.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.caperturn.testkit.Endpoint;
import io.caperturn.testkit.http.HttpExchange;
import io.caperturn.testkit.http.HttpService;
import io.caperturn.testkit.http.Json;
import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.eclipse.jetty.http.HttpStatus;
import org.eclipse.jetty.io.Connection;

/**
 * Stand-in for an upstream: runs tasks by waiting, with hard slots and connections, faults on demand and a record of
 * starts of its own.
 *
 * <p>A task beyond its slots or connections is started all the same and noted in the record as a violation. The payload
 * {@code {"runMilliseconds":N}} gives the run time at speed 1. A task that hangs holds its slot until it is aborted or
 * its connection closes. {@code POST /control} changes mode, state, speed, sidecar and the address that the upstream
 * announces; {@code GET /record} gives the record.
 */
public final class StandInUpstream implements AutoCloseable {
    private static final String TASKS_PATH = "/v1/tasks";

    private final UpstreamOptions options;
    private final RecordWriter record;
    private final HttpService http;
    private final Announcer announcer;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("upstream-timer").factory());
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final Map<String, Run> runs = new ConcurrentHashMap<>();
    private final AtomicInteger running = new AtomicInteger();
    private volatile UpstreamMode mode = UpstreamMode.NORMAL;
    private volatile double speed;

    /**
     * Starts an upstream.
     *
     * @param address where to listen; port 0 for any
     * @param options what it is
     * @param sidecar where to announce it; null for nowhere yet
     * @param advertised the address that it announces as its own; null for the one bound
     * @throws IOException if the address can't be bound or the record not be opened
     */
    public StandInUpstream(Endpoint address, UpstreamOptions options, Endpoint sidecar, Endpoint advertised)
            throws IOException {
        this.options = options;
        this.speed = options.speed();
        this.record = new RecordWriter(options.record());
        this.http = new HttpService(address, this::handle, this::connectionClosed);
        this.announcer = new Announcer(options, advertised == null ? http.address() : advertised, sidecar);
    }

    /**
     * Returns the address bound.
     *
     * @return the address
     */
    public Endpoint address() {
        return http.address();
    }

    /**
     * Returns what was recorded so far.
     *
     * @return the lines in their order
     */
    public List<RecordLine> record() {
        return record.lines();
    }

    @Override
    public void close() throws IOException {
        announcer.close();
        timer.shutdownNow();
        http.close();
        record.close();
    }

    private void handle(HttpExchange exchange) {
        String path = exchange.path();
        if (path.equals("/control")) {
            handleControl(exchange);
        } else if (path.equals("/record")) {
            exchange.answer(HttpStatus.OK_200, Json.of(record.lines()));
        } else if (path.equals(TASKS_PATH) && exchange.method().equals("POST")) {
            handleTask(exchange);
        } else if (path.startsWith(TASKS_PATH + "/") && exchange.method().equals("DELETE")) {
            handleAbort(exchange, path.substring(TASKS_PATH.length() + 1));
        } else {
            exchange.answer(HttpStatus.NOT_FOUND_404);
        }
    }

    private void handleControl(HttpExchange exchange) {
        if (exchange.method().equals("POST")) {
            JsonNode changes = exchange.body();
            if (changes.has("mode")) {
                mode = UpstreamMode.parse(changes.get("mode").asText());
            }
            if (changes.has("state")) {
                announcer.state(changes.get("state").asText());
            }
            if (changes.has("sidecar")) {
                announcer.sidecar(Endpoint.parse(changes.get("sidecar").asText()));
            }
            if (changes.has("advertise")) {
                announcer.advertise(Endpoint.parse(changes.get("advertise").asText()));
            }
            speed = changes.path("speed").asDouble(speed);
        }
        exchange.answer(
                HttpStatus.OK_200,
                Json.object()
                        .put("mode", mode.toString())
                        .put("state", announcer.state())
                        .put("speed", speed)
                        .put("running", running.get())
                        .put("connections", connections.size()));
    }

    private void handleTask(HttpExchange exchange) {
        UpstreamMode present = mode;
        if (present == UpstreamMode.REFUSE) {
            exchange.answer(HttpStatus.SERVICE_UNAVAILABLE_503);
            return;
        }
        Run run = new Run(
                exchange,
                exchange.header("Caperturn-Submission"),
                exchange.header("Caperturn-Task"),
                exchange.header("Caperturn-Attempt"),
                exchange.header("Caperturn-Kind"),
                present == UpstreamMode.HANG);
        start(run);
        switch (present) {
            case FAIL_ALL -> end(run, "failed", () -> exchange.answer(HttpStatus.INTERNAL_SERVER_ERROR_500));
            case RESET -> end(run, "reset", exchange::abort);
            case HANG -> runs.put(run.path(), run);
            case NORMAL, REFUSE ->
                run(run, exchange.body().path("runMilliseconds").asDouble(0));
        }
    }

    private void run(Run run, double runMilliseconds) {
        runs.put(run.path(), run);
        long microseconds = Math.round(runMilliseconds / speed * TimeUnit.MILLISECONDS.toMicros(1));
        timer.schedule(() -> complete(run), microseconds, TimeUnit.MICROSECONDS);
    }

    private void complete(Run run) {
        if (!runs.remove(run.path(), run)) {
            return;
        }
        JsonNode result = Json.object()
                .put("task", run.task())
                .put("attempt", run.attempt())
                .put("submission", run.submission())
                .put("upstream", options.name());
        end(run, "completed", () -> run.exchange().answer(HttpStatus.OK_200, result));
    }

    private void connectionClosed(Connection connection) {
        connections.remove(connection);
        runs.values().stream()
                .filter(run -> run.hangs() && run.exchange().connection() == connection)
                .filter(run -> runs.remove(run.path(), run))
                .forEach(run -> end(run, "connection-closed", () -> {}));
    }

    private void handleAbort(HttpExchange exchange, String path) {
        Run run = runs.remove(path);
        if (run == null) {
            exchange.answer(HttpStatus.NOT_FOUND_404);
            return;
        }
        end(run, "aborted", () -> run.exchange().answer(HttpStatus.GONE_410));
        exchange.answer(HttpStatus.NO_CONTENT_204);
    }

    private void start(Run run) {
        int now = running.incrementAndGet();
        connections.add(run.exchange().connection());
        note(RecordLine.Event.START, run, "");
        if (now > options.slots()) {
            note(RecordLine.Event.VIOLATION, run, "slots " + now);
        }
        if (connections.size() > options.connections()) {
            note(RecordLine.Event.VIOLATION, run, "connections " + connections.size());
        }
    }

    private void end(Run run, String detail, Runnable reply) {
        running.decrementAndGet();
        note(RecordLine.Event.END, run, detail);
        reply.run();
    }

    private void note(RecordLine.Event event, Run run, String detail) {
        record.add(new RecordLine(
                event,
                System.currentTimeMillis(),
                options.name(),
                run.submission(),
                run.task(),
                run.attempt(),
                run.kind(),
                detail));
    }

    private record Run(
            HttpExchange exchange, String submission, String task, String attempt, String kind, boolean hangs) {
        String path() {
            return attempt + "/" + submission + "/" + task;
        }
    }
}
