import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Stand-in of an executor. A run takes as many milliseconds as the job's spec says: "work 1500" for all
 * tasks, "work 1500 3000" for a first task and the others. A stop takes most of stopTimeoutMs. It guards its capacity, keeps the highest fencing token, and kills everything once the lease has expired.
 */
final class Executor {
    private static final long MAXIMUM_LEASE_MILLISECONDS = 1_000;
    private static final long HEARTBEAT_MILLISECONDS = 1_500;
    private static final long STOP_MILLISECONDS = 40;

    /** Run that has begun; ended is 0 while it is at work. */
    static final class Run {
        final String executor;
        final String task;
        final long number;
        final long begun;
        final long finishAt;
        volatile long ended;
        volatile String how = "";
        /** When the end was taken note of, in milliseconds; 0 if it was not. */
        volatile long noted;

        Run(String executor, String task, long number, long begun, long finishAt) {
            this.executor = executor;
            this.task = task;
            this.number = number;
            this.begun = begun;
            this.finishAt = finishAt;
        }
    }

    private final String identity;
    private final String service;
    private final String zone;
    private final List<String> labels;
    private final String controlHost;
    private final int controlPort;
    private final HttpServer server;
    private final String address;
    private final long born = System.currentTimeMillis();
    private final long startedAt = System.nanoTime();
    private final int tasksAtOnce;
    private long fencingToken;
    private long leaseUntil;
    private long lastNumber;
    private long sequence;
    private volatile boolean closed;
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> highestOver = new HashMap<>();
    private final TreeMap<Long, List<Object>> ends = new TreeMap<>();
    private final Map<Long, Run> endedRuns = new HashMap<>();
    /** All runs that have begun here, in order. */
    final List<Run> runs = new ArrayList<>();

    Executor(
            String identity,
            String service,
            String zone,
            String host,
            int port,
            String controlHost,
            int controlPort,
            int tasksAtOnce)
            throws IOException {
        this.identity = identity;
        this.service = service;
        this.zone = zone;
        this.labels = List.of("a", "r1-1");
        this.controlHost = controlHost;
        this.controlPort = controlPort;
        this.tasksAtOnce = tasksAtOnce;
        this.server = new HttpServer(host, port, this::handle);
        this.address = host + ":" + port;
        Thread.ofVirtual().start(this::work);
        Thread.ofVirtual().start(this::sendHeartbeats);
    }

    private long clock() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    private HttpServer.Response handle(HttpServer.Request request) throws InterruptedException {
        String expected = request.headers().get("expected-instance");
        if (expected != null && !expected.equals(identity)) {
            return answer(421, Map.of());
        }
        if (request.path().equals("/health")) {
            return answer(200, Map.of());
        }
        Map<?, ?> body = (Map<?, ?>) Json.parse(request.body());
        return switch (request.path()) {
            case "/run-start" -> start(body);
            case "/run-stop" -> stop(body);
            case "/hold" -> hold(body);
            default -> answer(404, Map.of());
        };
    }

    private static long number(Map<?, ?> body, String name) {
        return body.get(name) instanceof Number value ? value.longValue() : 0;
    }

    private synchronized boolean isFenced(Map<?, ?> body) {
        long token = number(body, "fencingToken");
        if (token < fencingToken) {
            return true;
        }
        fencingToken = token;
        return false;
    }

    private void extendLease(Map<?, ?> body) {
        leaseUntil = Math.max(leaseUntil, Math.min(number(body, "untilMs"), clock() + MAXIMUM_LEASE_MILLISECONDS));
    }

    private synchronized HttpServer.Response start(Map<?, ?> body) {
        if (isFenced(body)) {
            return answer(409, Map.of("reason", "fence"));
        }
        String task = (String) body.get("task");
        long number = number(body, "run");
        Run present = running.get(task);
        if (present != null && present.number == number) {
            extendLease(body);
            return answer(200, Map.of());
        }
        if (number <= highestOver.getOrDefault(task, 0L) || present != null) {
            extendLease(body);
            return answer(409, Map.of("reason", "old"));
        }
        if (number(body, "untilMs") <= clock()) {
            return answer(409, Map.of("reason", "late"));
        }
        extendLease(body);
        if (running.size() >= tasksAtOnce) {
            return answer(409, Map.of("reason", "room"));
        }
        String[] work = ((String) body.get("spec")).split(" ");
        int index = Integer.parseInt(task.substring(task.lastIndexOf('.') + 1));
        long milliseconds = Long.parseLong(work[Math.min(1 + index, work.length - 1)]);
        long now = Transcript.now();
        Run run = new Run(identity, task, number, now, now + milliseconds);
        running.put(task, run);
        runs.add(run);
        Transcript.event(identity + " starts " + task + " run " + number);
        return answer(200, Map.of());
    }

    private synchronized HttpServer.Response stop(Map<?, ?> body) {
        if (isFenced(body)) {
            return answer(409, Map.of("reason", "fence"));
        }
        String task = (String) body.get("task");
        long number = number(body, "run");
        Run present = running.get(task);
        if (present != null && present.number <= number) {
            Thread.ofVirtual().start(() -> {
                pause(STOP_MILLISECONDS);
                endIfRunning(present);
            });
        }
        highestOver.merge(task, number, Math::max);
        return answer(200, Map.of());
    }

    private HttpServer.Response hold(Map<?, ?> body) throws InterruptedException {
        long deadline = System.nanoTime() + Math.min(2_000, number(body, "waitMs")) * 1_000_000;
        synchronized (this) {
            if (isFenced(body)) {
                return answer(409, Map.of("reason", "fence"));
            }
            if (body.containsKey("untilMs")) {
                extendLease(body);
            }
            acknowledge(number(body, "ackCursor"));
            long remaining = (deadline - System.nanoTime()) / 1_000_000;
            while (ends.isEmpty() && remaining > 0) {
                wait(remaining);
                remaining = (deadline - System.nanoTime()) / 1_000_000;
            }
            List<Object> active = new ArrayList<>();
            for (Run run : running.values()) {
                long percent = Math.min(99, 100 * (Transcript.now() - run.begun) / Math.max(1, run.finishAt - run.begun));
                active.add(List.of(run.task, run.number, "", percent, 1.6));
            }
            return answer(
                    200, Map.of("running", active, "ended", ends.values().stream().limit(500).toList()));
        }
    }

    private void acknowledge(long cursor) {
        Map<Long, List<Object>> acknowledged = ends.headMap(cursor, true);
        acknowledged.keySet().forEach(number -> endedRuns.get(number).noted = Transcript.now());
        acknowledged.clear();
    }

    private synchronized HttpServer.Response answer(int status, Map<String, Object> fields) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("clockMs", clock());
        body.put("born", born);
        body.putAll(fields);
        return new HttpServer.Response(status, Json.write(body));
    }

    private synchronized void endIfRunning(Run run) {
        if (running.get(run.task) == run) {
            end(run, "stopped");
        }
    }

    private synchronized void end(Run run, String how) {
        running.remove(run.task);
        run.how = how;
        run.ended = Transcript.now();
        highestOver.merge(run.task, run.number, Math::max);
        lastNumber++;
        endedRuns.put(lastNumber, run);
        ends.put(lastNumber, List.of(lastNumber, run.task, run.number, how, ""));
        Transcript.event(identity + " ends " + run.task + " run " + run.number + " " + how);
        notifyAll();
    }

    private void work() {
        while (!closed) {
            synchronized (this) {
                if (closed) {
                    return;
                }
                for (Run run : List.copyOf(running.values())) {
                    if (clock() > leaseUntil) {
                        end(run, "lapsed");
                    } else if (Transcript.now() >= run.finishAt) {
                        end(run, "done");
                    }
                }
            }
            pause(5);
        }
    }

    private void sendHeartbeats() {
        while (!closed) {
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("service", service);
            body.put("address", address);
            body.put("zone", zone);
            body.put("version", "v1");
            body.put("slots", 8);
            body.put("state", "ready");
            body.put("coldRemainingMs", 0);
            body.put("capacity", Map.of("cpu", 16_000, "memMb", 65_536, "gpu", 0));
            body.put("labels", labels);
            body.put("clockMs", clock());
            body.put("born", born);
            body.put("sequence", ++sequence);
            HttpClient.Answer answer;
            try (HttpClient client = new HttpClient(controlHost, controlPort)) {
                answer = client.call(
                        "PUT",
                        "/instances/" + identity,
                        Map.of("Host", controlHost + ":" + controlPort),
                        Json.write(body),
                        1_000);
            }
            pause(answer.status() / 100 == 2 ? HEARTBEAT_MILLISECONDS : 200);
        }
    }

    private static void pause(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    void close() {
        closed = true;
        server.close();
    }
}
