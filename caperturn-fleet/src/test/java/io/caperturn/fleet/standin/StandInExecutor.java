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
 * Stand-in of an executor beside a sidecar.
 *
 * <p>It runs tasks under a lease, refuses commands with an older fencing token, lists completed runs under increasing
 * numbers until they are acknowledged, and sends heartbeats.
 */
final class StandInExecutor extends StandInHttpServer {
    private static final long MAXIMUM_LEASE_MILLISECONDS = 1_000;
    private static final long HEARTBEAT_INTERVAL_MILLISECONDS = 300;

    private final String identity;
    private final long taskMilliseconds;
    private final long startedAt = System.currentTimeMillis();
    /** Start times of the running tasks, in milliseconds since the start of the executor. */
    private final Map<String, Long> running = new LinkedHashMap<>();

    private final Map<String, Long> latestRunNumbers = new HashMap<>();
    private final Map<String, Integer> startCounts = new HashMap<>();
    private final TreeMap<Long, List<Object>> completions = new TreeMap<>();
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();
    private long highestFencingToken;
    private long leaseExpiry;
    private long completionCounter;
    private long sequence;
    private volatile boolean closed;
    private volatile boolean failingAllRuns;

    StandInExecutor(String identity, String sidecarAddress, long taskMilliseconds) throws IOException {
        this.identity = identity;
        this.taskMilliseconds = taskMilliseconds;
        Thread heartbeats = new Thread(() -> announce(sidecarAddress), "heartbeats");
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

    private long now() {
        return System.currentTimeMillis() - startedAt;
    }

    private void announce(String target) {
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
            heartbeat.put("born", startedAt);
            heartbeat.put("sequence", ++sequence);
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + target + "/instances/" + identity))
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
                for (Map.Entry<String, Long> run : List.copyOf(running.entrySet())) {
                    if (now() > leaseExpiry) {
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
        if (running.remove(task) != null) {
            completionCounter++;
            completions.put(
                    completionCounter, List.of(completionCounter, task, latestRunNumbers.get(task), outcome, ""));
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
        long leaseEnd = (long) body.get("untilMs");
        if (leaseEnd <= now()) {
            return refuse("late");
        }
        leaseExpiry = Math.max(leaseExpiry, Math.min(leaseEnd, now() + MAXIMUM_LEASE_MILLISECONDS));
        if (latestRunNumbers.getOrDefault(task, 0L) == run && running.containsKey(task)) {
            return listRuns();
        }
        if (run <= latestRunNumbers.getOrDefault(task, 0L)) {
            return refuse("old");
        }
        latestRunNumbers.put(task, run);
        running.put(task, now());
        startCounts.merge(task, 1, Integer::sum);
        return listRuns();
    }

    private Response hold(Map<?, ?> body) throws InterruptedException {
        completions.headMap((Long) body.get("ackCursor"), true).clear();
        if (body.get("untilMs") instanceof Long leaseEnd) {
            leaseExpiry = Math.max(leaseExpiry, Math.min(leaseEnd, now() + MAXIMUM_LEASE_MILLISECONDS));
        }
        long deadline = now() + (body.get("waitMs") instanceof Long wait ? wait : 0);
        while (completions.isEmpty() && now() < deadline) {
            wait(deadline - now());
        }
        return listRuns();
    }

    private Response listRuns() {
        List<Object> list = new ArrayList<>();
        running.forEach((task, since) -> list.add(
                List.of(task, latestRunNumbers.get(task), "", 100 * (now() - since) / Math.max(1, taskMilliseconds))));
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("clockMs", now());
        body.put("born", startedAt);
        body.put("running", list);
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
