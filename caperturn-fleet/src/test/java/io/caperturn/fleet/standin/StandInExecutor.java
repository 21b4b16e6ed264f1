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

    private final String identity;
    private final long taskMilliseconds;
    /** Start time of the executor, in milliseconds since 1970. */
    private final long startMilliseconds = System.currentTimeMillis();
    /** Start times of the running tasks by task, in milliseconds since the start of the executor. */
    private final Map<String, Long> runningTasks = new LinkedHashMap<>();

    /** Number of the latest run of each task. */
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

    StandInExecutor(String identity, String sidecarAddress, long taskMilliseconds) throws IOException {
        this.identity = identity;
        this.taskMilliseconds = taskMilliseconds;
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
                for (Map.Entry<String, Long> run : List.copyOf(runningTasks.entrySet())) {
                    if (now() > leaseExpiryMilliseconds) {
                        complete(run.getKey(), "lapsed");
                    } else if (now() - run.getValue() >= taskMilliseconds) {
                        complete(run.getKey(), failingAllRuns ? "failed" : "done");
                    }
                }
            }
            sleep(2);
        }
    }

    private void complete(String task, String outcome) {
        if (runningTasks.remove(task) != null) {
            latestCompletionNumber++;
            // The row consists of the number of the completion, the task, the run number, the outcome and a detail.
            completions.put(
                    latestCompletionNumber,
                    List.of(latestCompletionNumber, task, latestRunNumbers.get(task), outcome, ""));
            notifyAll();
        }
    }

    @Override
    synchronized Response respond(
            String method, String path, Map<String, String> query, Map<?, ?> body, HttpExchange exchange)
            throws InterruptedException {
        long token = (long) body.get("fencingToken");
        if (token < highestFencingToken) {
            return refuse("fence");
        }
        highestFencingToken = token;
        return switch (path) {
            case "/run-start" -> start(body);
            case "/run-stop" -> {
                complete((String) body.get("task"), "stopped");
                yield listRuns();
            }
            case "/hold" -> hold(body);
            default -> new Response(404, Map.of());
        };
    }

    private Response start(Map<?, ?> body) {
        String task = (String) body.get("task");
        long run = (long) body.get("run");
        long requestedExpiry = (long) body.get("untilMs");
        if (requestedExpiry <= now()) {
            return refuse("late");
        }
        leaseExpiryMilliseconds =
                Math.max(leaseExpiryMilliseconds, Math.min(requestedExpiry, now() + MAXIMUM_LEASE_MILLISECONDS));
        if (latestRunNumbers.getOrDefault(task, 0L) == run && runningTasks.containsKey(task)) {
            return listRuns();
        }
        if (run <= latestRunNumbers.getOrDefault(task, 0L)) {
            // The run number is not new.
            return refuse("old");
        }
        latestRunNumbers.put(task, run);
        runningTasks.put(task, now());
        startCounts.merge(task, 1, Integer::sum);
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
        runningTasks.forEach((task, since) -> runningRows.add(
                List.of(task, latestRunNumbers.get(task), "", 100 * (now() - since) / Math.max(1, taskMilliseconds))));
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
