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

/** Stand-in of an executor beside a sidecar: runs under a lease and fences, ends with numbers, heartbeats. */
final class StandInExecutor extends StandInHttp {
    private static final long LONGEST_LEASE = 1_000;
    private static final long BEAT_MILLISECONDS = 300;

    private final String identity;
    private final long taskMilliseconds;
    private final long born = System.currentTimeMillis();
    private final Map<String, Long> running = new LinkedHashMap<>();
    private final Map<String, Long> runs = new HashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final TreeMap<Long, List<Object>> ends = new TreeMap<>();
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();
    private long fence;
    private long leaseUntil;
    private long endCounter;
    private long sequence;
    private volatile boolean closed;
    private volatile boolean failing;

    StandInExecutor(String identity, String announceTo, long taskMilliseconds) throws IOException {
        this.identity = identity;
        this.taskMilliseconds = taskMilliseconds;
        Thread beats = new Thread(() -> announce(announceTo), "beats");
        beats.setDaemon(true);
        beats.start();
        Thread clock = new Thread(this::endDue, "ends");
        clock.setDaemon(true);
        clock.start();
    }

    /** Says whether all that runs here fails, while heartbeats stay good. */
    void fail(boolean all) {
        failing = all;
    }

    /** Gives how often each task was started here. */
    synchronized Map<String, Integer> starts() {
        return Map.copyOf(starts);
    }

    private long now() {
        return System.currentTimeMillis() - born;
    }

    private void announce(String target) {
        while (!closed) {
            Map<String, Object> beat = new LinkedHashMap<>();
            beat.put("service", "work");
            beat.put("address", address());
            beat.put("zone", "zone");
            beat.put("version", "v1");
            beat.put("slots", 8);
            beat.put("state", "ready");
            beat.put("coldRemainingMs", 0);
            beat.put("capacity", Map.of("cpu", 16_000, "memMb", 32_768, "gpu", 0));
            beat.put("labels", List.of("a", "r1"));
            beat.put("clockMs", now());
            beat.put("born", born);
            beat.put("sequence", ++sequence);
            HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + target + "/instances/" + identity))
                    .PUT(HttpRequest.BodyPublishers.ofByteArray(write(beat)))
                    .timeout(Duration.ofSeconds(1))
                    .build();
            try {
                client.send(request, HttpResponse.BodyHandlers.discarding());
            } catch (IOException e) {
                // The sidecar isn't there; the next heartbeat tries again.
            } catch (InterruptedException e) {
                return;
            }
            sleep(BEAT_MILLISECONDS);
        }
    }

    private static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endDue() {
        while (!closed) {
            synchronized (this) {
                for (Map.Entry<String, Long> run : List.copyOf(running.entrySet())) {
                    if (now() > leaseUntil) {
                        end(run.getKey(), "lapsed");
                    } else if (now() - run.getValue() >= taskMilliseconds) {
                        end(run.getKey(), failing ? "failed" : "done");
                    }
                }
            }
            sleep(2);
        }
    }

    private void end(String task, String how) {
        if (running.remove(task) != null) {
            endCounter++;
            ends.put(endCounter, List.of(endCounter, task, runs.get(task), how, ""));
            notifyAll();
        }
    }

    @Override
    synchronized Reply reply(
            String method, String path, Map<String, String> query, Map<?, ?> body, HttpExchange exchange)
            throws InterruptedException {
        long token = (long) body.get("fencingToken");
        if (token < fence) {
            return refusal("fence");
        }
        fence = token;
        return switch (path) {
            case "/run-start" -> start(body);
            case "/run-stop" -> {
                end((String) body.get("task"), "stopped");
                yield listing();
            }
            case "/hold" -> hold(body);
            default -> new Reply(404, Map.of());
        };
    }

    private Reply start(Map<?, ?> body) {
        String task = (String) body.get("task");
        long run = (long) body.get("run");
        long until = (long) body.get("untilMs");
        if (until <= now()) {
            return refusal("late");
        }
        leaseUntil = Math.max(leaseUntil, Math.min(until, now() + LONGEST_LEASE));
        if (runs.getOrDefault(task, 0L) == run && running.containsKey(task)) {
            return listing();
        }
        if (run <= runs.getOrDefault(task, 0L)) {
            return refusal("old");
        }
        runs.put(task, run);
        running.put(task, now());
        starts.merge(task, 1, Integer::sum);
        return listing();
    }

    private Reply hold(Map<?, ?> body) throws InterruptedException {
        ends.headMap((Long) body.get("ackCursor"), true).clear();
        if (body.get("untilMs") instanceof Long until) {
            leaseUntil = Math.max(leaseUntil, Math.min(until, now() + LONGEST_LEASE));
        }
        long deadline = now() + (body.get("waitMs") instanceof Long wait ? wait : 0);
        while (ends.isEmpty() && now() < deadline) {
            wait(deadline - now());
        }
        return listing();
    }

    private Reply listing() {
        List<Object> list = new ArrayList<>();
        running.forEach((task, since) ->
                list.add(List.of(task, runs.get(task), "", 100 * (now() - since) / Math.max(1, taskMilliseconds))));
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("clockMs", now());
        body.put("born", born);
        body.put("running", list);
        body.put("ended", new ArrayList<>(ends.values()));
        return new Reply(200, body);
    }

    private Reply refusal(String reason) {
        return new Reply(409, Map.of("clockMs", now(), "reason", reason));
    }

    @Override
    public void close() {
        closed = true;
        super.close();
    }
}
