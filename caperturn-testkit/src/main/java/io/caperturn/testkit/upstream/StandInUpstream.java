package io.caperturn.testkit.upstream;

import com.fasterxml.jackson.databind.JsonNode;
import io.caperturn.testkit.HostAndPort;
import io.caperturn.testkit.http.HttpExchange;
import io.caperturn.testkit.http.StandInHttpServer;
import io.caperturn.testkit.http.TestkitJson;
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
 * Stand-in for an upstream, a server that runs tasks. Simulates tasks by waiting and records their starts and ends.
 *
 * <p>The payload {@code {"runMilliseconds":N}} of a task sets its run time, in milliseconds at speed 1. A task beyond
 * the maximum number of tasks (slots) or connections starts nevertheless and is recorded as a violation. A task started
 * in mode {@code hang} occupies a slot until the task is aborted or the connection closes. {@code POST /control}
 * changes the mode, announced state, speed, sidecar and announced address; {@code GET /record} returns the record.
 */
public final class StandInUpstream implements AutoCloseable {
    private static final String TASKS_PATH = "/v1/tasks";

    private final UpstreamOptions options;
    private final ExecutionRecordWriter executionRecord;
    private final StandInHttpServer http;
    private final UpstreamAnnouncer announcer;
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor(
            Thread.ofPlatform().daemon().name("upstream-timer").factory());
    private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
    private final Map<String, RunningTask> runningTasks = new ConcurrentHashMap<>();
    private final AtomicInteger runningCount = new AtomicInteger();
    private volatile UpstreamMode mode = UpstreamMode.NORMAL;
    private volatile double speed;

    /**
     * Starts an upstream and its announcements.
     *
     * @param address the address to listen on; port 0 binds any free port
     * @param options the options
     * @param sidecar the address that receives the announcements; null to send none yet
     * @param advertisedAddress the announced address of the upstream; null for the address that it listens on
     * @throws IOException if the address can't be bound or the record can't be opened
     */
    public StandInUpstream(
            HostAndPort address, UpstreamOptions options, HostAndPort sidecar, HostAndPort advertisedAddress)
            throws IOException {
        this.options = options;
        this.speed = options.speed();
        this.executionRecord = new ExecutionRecordWriter(options.recordFile());
        this.http = new StandInHttpServer(address, this::handle, this::handleClosedConnection);
        this.announcer =
                new UpstreamAnnouncer(options, advertisedAddress == null ? http.address() : advertisedAddress, sidecar);
    }

    /**
     * Returns the address that the upstream listens on.
     *
     * @return the address
     */
    public HostAndPort address() {
        return http.address();
    }

    /**
     * Returns the execution record so far.
     *
     * @return the lines in the order of recording
     */
    public List<ExecutionRecordLine> executionRecord() {
        return executionRecord.lines();
    }

    @Override
    public void close() throws IOException {
        announcer.close();
        timer.shutdownNow();
        http.close();
        executionRecord.close();
    }

    private void handle(HttpExchange exchange) {
        String path = exchange.path();
        if (path.equals("/control")) {
            handleControl(exchange);
        } else if (path.equals("/record")) {
            exchange.respond(HttpStatus.OK_200, TestkitJson.of(executionRecord.lines()));
        } else if (path.equals(TASKS_PATH) && exchange.method().equals("POST")) {
            handleTask(exchange);
        } else if (path.startsWith(TASKS_PATH + "/") && exchange.method().equals("DELETE")) {
            handleAbort(exchange, path.substring(TASKS_PATH.length() + 1));
        } else {
            exchange.respond(HttpStatus.NOT_FOUND_404);
        }
    }

    private void handleControl(HttpExchange exchange) {
        if (exchange.method().equals("POST")) {
            JsonNode changes = exchange.body();
            if (changes.has("mode")) {
                mode = UpstreamMode.parse(changes.get("mode").asText());
            }
            if (changes.has("state")) {
                announcer.setState(changes.get("state").asText());
            }
            if (changes.has("sidecar")) {
                announcer.setSidecar(HostAndPort.parse(changes.get("sidecar").asText()));
            }
            if (changes.has("advertise")) {
                announcer.setAdvertisedAddress(
                        HostAndPort.parse(changes.get("advertise").asText()));
            }
            speed = changes.path("speed").asDouble(speed);
        }
        exchange.respond(
                HttpStatus.OK_200,
                TestkitJson.object()
                        .put("mode", mode.toString())
                        .put("state", announcer.state())
                        .put("speed", speed)
                        .put("running", runningCount.get())
                        .put("connections", connections.size()));
    }

    private void handleTask(HttpExchange exchange) {
        UpstreamMode currentMode = mode;
        if (currentMode == UpstreamMode.REFUSE) {
            exchange.respond(HttpStatus.SERVICE_UNAVAILABLE_503);
            return;
        }
        RunningTask runningTask = new RunningTask(
                exchange,
                exchange.header("Caperturn-Submission"),
                exchange.header("Caperturn-Task"),
                exchange.header("Caperturn-Attempt"),
                exchange.header("Caperturn-Kind"),
                currentMode == UpstreamMode.HANG);
        start(runningTask);
        switch (currentMode) {
            case FAIL_ALL ->
                finish(runningTask, "failed", () -> exchange.respond(HttpStatus.INTERNAL_SERVER_ERROR_500));
            case RESET -> finish(runningTask, "reset", exchange::abort);
            case HANG -> runningTasks.put(runningTask.abortPath(), runningTask);
            case NORMAL, REFUSE ->
                scheduleCompletion(
                        runningTask, exchange.body().path("runMilliseconds").asDouble(0));
        }
    }

    private void scheduleCompletion(RunningTask runningTask, double runMilliseconds) {
        runningTasks.put(runningTask.abortPath(), runningTask);
        long microseconds = Math.round(runMilliseconds / speed * TimeUnit.MILLISECONDS.toMicros(1));
        timer.schedule(() -> complete(runningTask), microseconds, TimeUnit.MICROSECONDS);
    }

    private void complete(RunningTask runningTask) {
        if (!runningTasks.remove(runningTask.abortPath(), runningTask)) {
            return;
        }
        JsonNode result = TestkitJson.object()
                .put("task", runningTask.task())
                .put("attempt", runningTask.attempt())
                .put("submission", runningTask.submission())
                .put("upstream", options.name());
        finish(runningTask, "completed", () -> runningTask.exchange().respond(HttpStatus.OK_200, result));
    }

    private void handleClosedConnection(Connection connection) {
        connections.remove(connection);
        runningTasks.values().stream()
                .filter(runningTask ->
                        runningTask.hanging() && runningTask.exchange().connection() == connection)
                .filter(runningTask -> runningTasks.remove(runningTask.abortPath(), runningTask))
                .forEach(runningTask -> finish(runningTask, "connection-closed", () -> {}));
    }

    private void handleAbort(HttpExchange exchange, String abortPath) {
        RunningTask runningTask = runningTasks.remove(abortPath);
        if (runningTask == null) {
            exchange.respond(HttpStatus.NOT_FOUND_404);
            return;
        }
        finish(runningTask, "aborted", () -> runningTask.exchange().respond(HttpStatus.GONE_410));
        exchange.respond(HttpStatus.NO_CONTENT_204);
    }

    private void start(RunningTask runningTask) {
        int concurrentTasks = runningCount.incrementAndGet();
        connections.add(runningTask.exchange().connection());
        addToRecord(ExecutionRecordLine.Event.START, runningTask, "");
        if (concurrentTasks > options.slots()) {
            addToRecord(ExecutionRecordLine.Event.VIOLATION, runningTask, "slots " + concurrentTasks);
        }
        if (connections.size() > options.connections()) {
            addToRecord(ExecutionRecordLine.Event.VIOLATION, runningTask, "connections " + connections.size());
        }
    }

    private void finish(RunningTask runningTask, String reason, Runnable reply) {
        runningCount.decrementAndGet();
        addToRecord(ExecutionRecordLine.Event.END, runningTask, reason);
        reply.run();
    }

    private void addToRecord(ExecutionRecordLine.Event event, RunningTask runningTask, String detail) {
        executionRecord.add(new ExecutionRecordLine(
                event,
                System.currentTimeMillis(),
                options.name(),
                runningTask.submission(),
                runningTask.task(),
                runningTask.attempt(),
                runningTask.kind(),
                detail));
    }

    /** Started task; {@code abortPath} follows {@code /v1/tasks/} in the request that aborts it. */
    private record RunningTask(
            HttpExchange exchange, String submission, String task, String attempt, String kind, boolean hanging) {
        String abortPath() {
            return attempt + "/" + submission + "/" + task;
        }
    }
}
