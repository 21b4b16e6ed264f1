package io.caperturn.fleet.standin;

import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in of an executor, the process that runs tasks on the orders of a sidecar.
 *
 * <p>A run is one execution of a task; it stops when its lease expires. The executor refuses orders whose fencing token
 * is lower than the highest that it has received, lists completed runs with increasing numbers until they are
 * acknowledged, and sends heartbeats to its sidecar. The names of JSON fields and refusals are the platform's.
 */
final class StandInExecutor extends StandInHttpServer {
    private static final long MAXIMUM_LEASE_MILLISECONDS = 1_000;
    private static final long HEARTBEAT_INTERVAL_MILLISECONDS = 300;
    /** Time that a stop takes. */
    private static final long STOP_MILLISECONDS = 40;

    private static final String DURATION_PREFIX = "work ";

    private final String identity;
    private final long taskMilliseconds;
    private final RunRecord record;
    /** Start time of the executor, in milliseconds since 1970. */
    private final long startMilliseconds = System.currentTimeMillis();
    /** Running tasks by name. */
    private final Map<String, Run> runningTasks = new LinkedHashMap<>();

    /** Highest number of a run of each task that was started or stopped. */
    private final Map<String, Long> latestRunNumbers = new HashMap<>();

    private final Map<String, Integer> startCounts = new HashMap<>();
    /** Rows of the completed runs that are not acknowledged, by the number of the completion. */
    private final TreeMap<Long, List<Object>> completions = new TreeMap<>();

    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();
    private long highestFencingToken;
    /** Time at which all runs stop unless their lease is extended, in milliseconds since the start of the executor. */
    private long leaseExpiryMilliseconds;

    private long latestCompletionNumber;
    private long heartbeatNumber;
    private volatile boolean closed;
    private volatile boolean failingAllRuns;
    private volatile long orderDelayMilliseconds;

    /** Run that has started; times are in milliseconds since the start of the executor. */
    private record Run(long number, long startMilliseconds, long durationMilliseconds, long stopMilliseconds) {
        Run stopAt(long milliseconds) {
            return new Run(number, startMilliseconds, durationMilliseconds, Math.min(stopMilliseconds, milliseconds));
        }
    }

    StandInExecutor(String identity, String sidecarAddress, long taskMilliseconds, RunRecord record)
            throws IOException {
        this.identity = identity;
        this.taskMilliseconds = taskMilliseconds;
        this.record = record;
        Thread heartbeats = new Thread(() -> sendHeartbeats(sidecarAddress), "heartbeats");
        heartbeats.setDaemon(true);
        heartbeats.start();
        Thread completer = new Thread(this::completeDueRuns, "completions");
        completer.setDaemon(true);
        completer.start();
    }

    /** Sets whether all runs fail; heartbeats continue to report the executor as ready. */
    void setFailing(boolean failing) {
        failingAllRuns = failing;
    }

    /**
     * Sets the time after which orders to start or stop a run are executed, in milliseconds; those that are executed
     * late get no answer. 0 executes orders at once.
     */
    void setOrderDelay(long milliseconds) {
        orderDelayMilliseconds = milliseconds;
    }

    /** Returns a job's specification with which each task takes the given time. */
    static String specification(long milliseconds) {
        return DURATION_PREFIX + milliseconds;
    }

    /** Returns how often each task was started at this executor. */
    synchronized Map<String, Integer> startCounts() {
        return Map.copyOf(startCounts);
    }

    /** Returns the milliseconds since the start of the executor. */
    private long now() {
        return System.currentTimeMillis() - startMilliseconds;
    }

    private void sendHeartbeats(String sidecarAddress) {
        while (!closed) {
            Map<String, Object> heartbeat = new LinkedHashMap<>();
            heartbeat.put("service", "work");
            heartbeat.put("address", address());
            heartbeat.put("zone", "zone");
            heartbeat.put("version", "v1");
            heartbeat.put("slots", 8);
            heartbeat.put("state", "ready");
            heartbeat.put("coldRemainingMs", 0);
            heartbeat.put("capacity", Map.of("cpu", 16_000, "memMb", 32_768, "gpu", 0));
            heartbeat.put("labels", List.of("a", "r1"));
            heartbeat.put("clockMs", now());
            heartbeat.put("born", startMilliseconds);
            heartbeat.put("sequence", ++heartbeatNumber);
            HttpRequest request = HttpRequest.newBuilder(
                            URI.create("http://" + sidecarAddress + "/instances/" + identity))
                    .PUT(HttpRequest.BodyPublishers.ofByteArray(write(heartbeat)))
                    .timeout(Duration.ofSeconds(1))
                    .build();
            try {
                client.send(request, HttpResponse.BodyHandlers.discarding());
            } catch (IOException e) {
                // The sidecar is not reachable; the next heartbeat is sent regardless.
            } catch (InterruptedException e) {
                return;
            }
            sleep(HEARTBEAT_INTERVAL_MILLISECONDS);
        }
    }

    private static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void completeDueRuns() {
        while (!closed) {
            synchronized (this) {
                endDueRuns();
            }
            sleep(2);
        }
    }

    /**
     * Ends the runs whose time has come; called before each order too, so that an order never prolongs a lease that has
     * expired. A run that lapses ends at the expiry of the lease, however late this thread gets to it.
     */
    private void endDueRuns() {
        long now = now();
        for (Map.Entry<String, Run> entry : List.copyOf(runningTasks.entrySet())) {
            Run run = entry.getValue();
            if (now > leaseExpiryMilliseconds) {
                complete(entry.getKey(), "lapsed", leaseExpiryMilliseconds + 1);
            } else if (now >= run.stopMilliseconds()) {
                complete(entry.getKey(), "stopped", now);
            } else if (now - run.startMilliseconds() >= run.durationMilliseconds()) {
                complete(entry.getKey(), failingAllRuns ? "failed" : "done", now);
            }
        }
    }

    private void complete(String task, String outcome, long endMilliseconds) {
        Run run = runningTasks.remove(task);
        latestCompletionNumber++;
        // The row consists of the number of the completion, the task, the run number, the outcome and a detail.
        completions.put(latestCompletionNumber, List.of(latestCompletionNumber, task, run.number(), outcome, ""));
        long lateNanoseconds = TimeUnit.MILLISECONDS.toNanos(Math.max(0, now() - endMilliseconds));
        record.end(task, identity, run.number(), outcome, System.nanoTime() - lateNanoseconds);
        notifyAll();
    }

    @Override
    Response respond(String method, String path, Map<String, String> query, Map<?, ?> body, HttpExchange exchange)
            throws InterruptedException {
        long delay = path.equals("/hold") ? 0 : orderDelayMilliseconds;
        Thread.sleep(delay);
        Response response = execute(path, body);
        return delay == 0 ? response : new Response(0, Map.of());
    }

    private synchronized Response execute(String path, Map<?, ?> body) throws InterruptedException {
        endDueRuns();
        long token = (long) body.get("fencingToken");
        if (token < highestFencingToken) {
            return refuse("fence");
        }
        highestFencingToken = token;
        return switch (path) {
            case "/run-start" -> start(body);
            case "/run-stop" -> stop(body);
            case "/hold" -> hold(body);
            default -> new Response(404, Map.of());
        };
    }

    private Response start(Map<?, ?> body) {
        String task = (String) body.get("task");
        long number = (long) body.get("run");
        long requestedExpiry = (long) body.get("untilMs");
        if (requestedExpiry <= now()) {
            return refuse("late");
        }
        leaseExpiryMilliseconds =
                Math.max(leaseExpiryMilliseconds, Math.min(requestedExpiry, now() + MAXIMUM_LEASE_MILLISECONDS));
        Run present = runningTasks.get(task);
        if (present != null && present.number() == number) {
            return listRuns();
        }
        if (present != null || number <= latestRunNumbers.getOrDefault(task, 0L)) {
            // Another run of the task is here, or the run number is not new.
            return refuse("old");
        }
        latestRunNumbers.put(task, number);
        runningTasks.put(
                task,
                new Run(number, now(), duration((String) body.get("spec")), /* stopMilliseconds= */ Long.MAX_VALUE));
        record.start(task, identity, number);
        startCounts.merge(task, 1, Integer::sum);
        return listRuns();
    }

    private long duration(String specification) {
        return specification.startsWith(DURATION_PREFIX)
                ? Long.parseLong(specification.substring(DURATION_PREFIX.length()))
                : taskMilliseconds;
    }

    private Response stop(Map<?, ?> body) {
        String task = (String) body.get("task");
        long number = (long) body.get("run");
        latestRunNumbers.merge(task, number, Math::max);
        runningTasks.computeIfPresent(
                task, (key, run) -> run.number() <= number ? run.stopAt(now() + STOP_MILLISECONDS) : run);
        return listRuns();
    }

    private Response hold(Map<?, ?> body) throws InterruptedException {
        // The cursor is the number of the last acknowledged completion.
        completions.headMap((Long) body.get("ackCursor"), true).clear();
        if (body.get("untilMs") instanceof Long requestedExpiry) {
            leaseExpiryMilliseconds =
                    Math.max(leaseExpiryMilliseconds, Math.min(requestedExpiry, now() + MAXIMUM_LEASE_MILLISECONDS));
        }
        long deadline = now() + (body.get("waitMs") instanceof Long wait ? wait : 0);
        while (completions.isEmpty() && now() < deadline) {
            wait(deadline - now());
        }
        return listRuns();
    }

    private Response listRuns() {
        List<Object> runningRows = new ArrayList<>();
        // A row consists of the task, the run number, a text that is not used, and the progress in percent.
        runningTasks.forEach((task, run) -> runningRows.add(List.of(
                task,
                run.number(),
                "",
                100 * (now() - run.startMilliseconds()) / Math.max(1, run.durationMilliseconds()))));
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("clockMs", now());
        body.put("born", startMilliseconds);
        body.put("running", runningRows);
        body.put("ended", new ArrayList<>(completions.values()));
        return new Response(200, body);
    }

    private Response refuse(String reason) {
        return new Response(409, Map.of("clockMs", now(), "reason", reason));
    }

    @Override
    public void close() {
        closed = true;
        super.close();
    }
}
