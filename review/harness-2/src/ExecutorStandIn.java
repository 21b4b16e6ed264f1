import java.io.IOException;
import java.net.InetSocketAddress;
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
 * Stand-in of the executor beside a sidecar, as PROTOCOL.md describes it: it starts, stops and lists runs under a
 * lease, and announces itself to its sidecar. It guards its capacity.
 */
final class ExecutorStandIn extends StandInServer {
    private static final long MAXIMUM_LEASE_MILLISECONDS = 1_000;
    private static final long STOP_MILLISECONDS = 40;
    private static final long HEARTBEAT_MILLISECONDS = 1_500;
    private static final int LISTED_ENDS = 500;

    private final String name;
    private final String service;
    private final String controlAddress;
    private final Jobs jobs;
    private final RunLog log;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();

    private final Map<String, Active> active = new LinkedHashMap<>();
    private final Map<String, Long> highestRuns = new HashMap<>();
    private final TreeMap<Long, End> ends = new TreeMap<>();
    private List<String> labels;
    private long capacity;
    private String identity = "";
    private long born;
    private long startedAt;
    private long highestFence;
    private long leaseUntil;
    /** When the lease was last found to have lapsed, in milliseconds of the record. */
    private double lapsedAt = -1;

    private long lastEnd;
    private long sequence;
    private int incarnations;
    private volatile String state = "ready";
    /** Whether the notice before the end was sent, after which no heartbeat follows. */
    private volatile boolean departed;
    /** Number of the present life; 0 while the executor is down. */
    private volatile int life;

    /** Active run; times are in milliseconds of the executor's clock. */
    private static final class Active {
        private final RunLog.Run run;
        private final Jobs.Step step;
        private final long startedAt;
        private long stopAt = Long.MAX_VALUE;

        private Active(RunLog.Run run, Jobs.Step step, long startedAt) {
            this.run = run;
            this.step = step;
            this.startedAt = startedAt;
        }
    }

    private record End(RunLog.Run run, String how) {}

    ExecutorStandIn(
            String name,
            String service,
            InetSocketAddress address,
            String controlAddress,
            long capacity,
            List<String> labels,
            Jobs jobs,
            RunLog log) {
        super(address);
        this.name = name;
        this.service = service;
        this.controlAddress = controlAddress;
        this.capacity = capacity;
        this.labels = labels;
        this.jobs = jobs;
        this.log = log;
    }

    String name() {
        return name;
    }

    /** Returns the labels of the present life. */
    synchronized List<String> labels() {
        return labels;
    }

    /** Returns the thousandths of a core that the active runs need. */
    synchronized long usedCapacity() {
        return active.values().stream().mapToLong(run -> run.step.cpu()).sum();
    }

    synchronized boolean isRunning(String task) {
        return active.containsKey(task);
    }

    boolean isUp() {
        return life != 0;
    }

    /** Starts a new life, under a new id. */
    void start() throws IOException {
        start(labels);
    }

    /** Starts a new life with the labels of a kind, under a new id. */
    synchronized void start(List<String> newLabels) throws IOException {
        labels = newLabels;
        incarnations++;
        identity = "i-" + name + "-" + incarnations;
        born = System.currentTimeMillis();
        startedAt = System.nanoTime();
        highestFence = 0;
        leaseUntil = 0;
        lastEnd = 0;
        sequence = 0;
        state = "ready";
        departed = false;
        active.clear();
        highestRuns.clear();
        ends.clear();
        life = incarnations;
        int thisLife = life;
        log.note("executor " + name + " is up as " + identity + " with labels " + labels);
        startServer();
        startThread(() -> sendHeartbeats(thisLife), "heartbeats");
        startThread(() -> endDueRuns(thisLife), "ends");
    }

    /** Ends the present life without notice; everything that runs ends with it. */
    void crash() {
        synchronized (this) {
            life = 0;
            double endedAt = log.now();
            active.values().forEach(run -> log.end(run.run, "lost", endedAt));
            log.note("executor " + name + " is gone");
            active.clear();
            notifyAll();
        }
        stopServer();
    }

    /** Announces that this executor will leave; returns whether the announcement was acknowledged. */
    boolean drain() {
        state = "draining";
        log.note("executor " + name + " says that it is draining");
        return sendHeartbeat();
    }

    /** Sends the notice before the end of the executor; returns whether it was acknowledged. */
    boolean sendDeparture(String address) {
        log.note("executor " + name + " sends DELETE");
        departed = true;
        try {
            HttpResponse<Void> response = client.send(
                    HttpRequest.newBuilder(URI.create("http://" + address + "/instances/" + identity))
                            .timeout(Duration.ofSeconds(1))
                            .DELETE()
                            .build(),
                    HttpResponse.BodyHandlers.discarding());
            log.note("executor " + name + " is answered " + response.statusCode());
            return response.statusCode() / 100 == 2;
        } catch (IOException e) {
            log.note("executor " + name + " gets no answer: " + e);
            return false;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    private static void startThread(Runnable action, String threadName) {
        Thread thread = new Thread(action, threadName);
        thread.setDaemon(true);
        thread.start();
    }

    private long clock() {
        return (System.nanoTime() - startedAt) / 1_000_000;
    }

    private void sendHeartbeats(int thisLife) {
        while (life == thisLife && !departed) {
            sendHeartbeat();
            sleep(HEARTBEAT_MILLISECONDS);
        }
    }

    private boolean sendHeartbeat() {
        Map<String, Object> body = new LinkedHashMap<>();
        String id;
        synchronized (this) {
            id = identity;
            body.put("service", service);
            body.put("address", address().getAddress().getHostAddress() + ":" + address().getPort());
            body.put("zone", "zone-a");
            body.put("version", "v1");
            body.put("slots", 8);
            body.put("state", state);
            body.put("coldRemainingMs", 0);
            body.put("capacity", Map.of("cpu", capacity, "memMb", 65_536, "gpu", 0));
            body.put("labels", labels);
            body.put("clockMs", clock());
            body.put("born", born);
            body.put("sequence", ++sequence);
        }
        try {
            HttpResponse<Void> response = client.send(
                    HttpRequest.newBuilder(URI.create("http://" + controlAddress + "/instances/" + id))
                            .timeout(Duration.ofSeconds(1))
                            .PUT(HttpRequest.BodyPublishers.ofByteArray(Json.write(body)))
                            .build(),
                    HttpResponse.BodyHandlers.discarding());
            return response.statusCode() / 100 == 2;
        } catch (IOException e) {
            return false; // the sidecar is not reachable; the next heartbeat is sent regardless
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endDueRuns(int thisLife) {
        while (life == thisLife) {
            synchronized (this) {
                if (life == thisLife) {
                    endDueRuns();
                }
            }
            sleep(1);
        }
    }

    private void endDueRuns() {
        long now = clock();
        if (now > leaseUntil) {
            lapsedAt = log.now();
        }
        for (Active run : List.copyOf(active.values())) {
            if (now > leaseUntil) {
                end(run, "lapsed");
            } else if (now >= run.stopAt) {
                end(run, "stopped");
            } else if (now - run.startedAt >= run.step.milliseconds()) {
                end(run, log.failedRuns(run.run.task) < run.step.failingRuns() ? "failed" : "done");
            }
        }
    }

    private void end(Active run, String how) {
        active.remove(run.run.task);
        ends.put(++lastEnd, new End(run.run, how));
        log.end(run.run, how);
        notifyAll();
    }

    @Override
    synchronized Response respond(Request request) throws InterruptedException {
        if (life == 0) {
            return new Response(0, Map.of());
        }
        if (!request.expectedInstance().isEmpty() && !request.expectedInstance().equals(identity)) {
            return new Response(421, Map.of(), instanceHeader());
        }
        endDueRuns();
        long fence = request.body().get("fencingToken") instanceof Long number ? number : 0;
        if (fence < highestFence) {
            return refuse("fence");
        }
        highestFence = fence;
        return switch (request.path()) {
            case "/run-start" -> start(request.body());
            case "/run-stop" -> stop(request.body());
            case "/hold" -> hold(request.body());
            default -> new Response(404, Map.of());
        };
    }

    private Map<String, String> instanceHeader() {
        return Map.of("Instance-Id", identity);
    }

    private void extendLease(Object until) {
        if (until instanceof Long requested) {
            leaseUntil = Math.max(leaseUntil, Math.min(requested, clock() + MAXIMUM_LEASE_MILLISECONDS));
        }
    }

    private Response start(Map<?, ?> body) {
        String task = (String) body.get("task");
        long number = (long) body.get("run");
        if ((long) body.get("untilMs") <= clock()) {
            return refuse("late");
        }
        extendLease(body.get("untilMs"));
        Active present = active.get(task);
        if (present != null && present.run.number == number) {
            return clockAnswer();
        }
        if (present != null || number <= highestRuns.getOrDefault(task, 0L)) {
            return refuse("old");
        }
        Jobs.Step step = jobs.stepOf(task);
        if (step == null) {
            log.note("UNASKED start of " + task + " on " + name);
            return new Response(400, Map.of("clockMs", clock(), "born", born), instanceHeader());
        }
        if (usedCapacity() + step.cpu() > capacity) {
            return refuse("room");
        }
        highestRuns.put(task, number);
        active.put(task, new Active(log.start(task, number, name + " " + labels), step, clock()));
        return clockAnswer();
    }

    private Response stop(Map<?, ?> body) {
        String task = (String) body.get("task");
        long number = (long) body.get("run");
        highestRuns.merge(task, number, Math::max);
        Active present = active.get(task);
        if (present != null && present.run.number <= number) {
            present.stopAt = Math.min(present.stopAt, clock() + STOP_MILLISECONDS);
        }
        return clockAnswer();
    }

    private Response hold(Map<?, ?> body) throws InterruptedException {
        int thisLife = life;
        Map<Long, End> acknowledged = ends.headMap((Long) body.get("ackCursor"), /* inclusive= */ true);
        acknowledged.values().forEach(end -> end.run().noted = lapsedAt < end.run().endedAt);
        acknowledged.clear();
        extendLease(body.get("untilMs"));
        long deadline = clock() + (body.get("waitMs") instanceof Long wait ? wait : 0);
        while (life == thisLife && ends.isEmpty() && clock() < deadline) {
            wait(Math.max(1, deadline - clock()));
        }
        if (life != thisLife) {
            return new Response(0, Map.of());
        }
        List<Object> running = new ArrayList<>();
        active.forEach((task, run) -> running.add(List.of(
                task,
                run.run.number,
                "",
                100 * (clock() - run.startedAt) / Math.max(1, run.step.milliseconds()),
                run.step.cpu())));
        List<Object> ended = new ArrayList<>();
        ends.entrySet().stream()
                .limit(LISTED_ENDS)
                .forEach(entry -> ended.add(List.of(
                        entry.getKey(),
                        entry.getValue().run().task,
                        entry.getValue().run().number,
                        entry.getValue().how(),
                        "")));
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("clockMs", clock());
        answer.put("born", born);
        answer.put("running", running);
        answer.put("ended", ended);
        return new Response(200, answer, instanceHeader());
    }

    private Response clockAnswer() {
        return new Response(200, Map.of("clockMs", clock(), "born", born), instanceHeader());
    }

    private Response refuse(String reason) {
        return new Response(409, Map.of("clockMs", clock(), "born", born, "reason", reason), instanceHeader());
    }
}
