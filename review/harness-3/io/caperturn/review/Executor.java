package io.caperturn.review;

import com.sun.net.httpserver.HttpExchange;
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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * Stand-in of an executor. It may crash and start again under the name and at the address that it had; it then knows
 * nothing of before, and may be of another kind. The last word of a job's spec tells the durations of its tasks.
 */
final class Executor extends StandInServer {
    private static final long MAXIMUM_HOLD_MILLISECONDS = 1_000;
    private static final long HEARTBEAT_MILLISECONDS = 1_500;
    /** Time from the opening of the port of a restarted executor until its first heartbeat. */
    private static final long FIRST_HEARTBEAT_MILLISECONDS = 120;

    private static final long STOP_MILLISECONDS = 30;
    private final String identity;
    private final InetSocketAddress address;
    private final String controlAddress;
    private final EventRecord record;
    private final RunListener listener;
    private final HttpClient client =
            HttpClient.newBuilder().connectTimeout(Duration.ofMillis(500)).build();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final Map<String, Long> highestRuns = new HashMap<>();
    private final TreeMap<Long, List<Object>> ends = new TreeMap<>();
    private List<String> labels;
    private long cpu = 16_000;
    private long born;
    private long bornNanoseconds;
    private long fencingToken;
    private long leaseEnd;
    private long endNumber;
    private long sequence;
    private int life;
    private boolean up;
    private boolean draining;
    private volatile boolean failing;
    private volatile double lateShare;
    private volatile boolean hanging;
    private volatile boolean cutOff;
    /** Whether orders are refused that exceed the capacity. */
    private final boolean guarding = !"0".equals(System.getenv("GUARD"));

    private record Run(long number, long startedAt, long duration, long cpu, long stopAt) {}

    /** Receiver of what starts and ends at executors. */
    interface RunListener {
        void started(Executor executor, String task, long run);

        default void ended(Executor executor, String task, long run, String how) {}

        /** Called before a start that exceeds the capacity of an executor that doesn't guard it. */
        default void overloaded(Executor executor, String task) {}

        /** Called when the cursor of acknowledged ends reaches the end of a run. */
        default void noted(Executor executor, String task, long run, String how) {}
    }

    Executor(
            String identity,
            InetSocketAddress address,
            String controlAddress,
            List<String> labels,
            EventRecord record,
            RunListener listener) {
        this.identity = identity;
        this.address = address;
        this.controlAddress = controlAddress;
        this.labels = labels;
        this.record = record;
        this.listener = listener;
        Thread ender = new Thread(this::endRuns, "ends");
        ender.setDaemon(true);
        ender.start();
    }

    String identity() {
        return identity;
    }

    synchronized List<String> labels() {
        return labels;
    }

    synchronized boolean isRunning(String task) {
        return running.containsKey(task);
    }

    synchronized long fencingToken() {
        return fencingToken;
    }

    synchronized int countRunning(String job) {
        return (int) running.keySet().stream().filter(task -> task.startsWith(job)).count();
    }

    synchronized boolean isRunningAny(String job) {
        return running.keySet().stream().anyMatch(task -> task.startsWith(job));
    }

    synchronized int unacknowledgedCount() {
        return ends.size();
    }

    synchronized int runningCount() {
        return running.size();
    }

    /** Makes all runs fail that end from now on. */
    void setFailing(boolean fails) {
        failing = fails;
    }

    /** Makes heartbeats be lost; what reaches the port is the matter of a proxy. */
    void setCutOff(boolean cut) {
        cutOff = cut;
    }

    /** Makes the tasks that run stand still. */
    void setHanging(boolean hangs) {
        hanging = hangs;
    }

    /** Makes a share of the orders get no answer and be carried out two to twelve seconds later. */
    void carryOutLate(double share) {
        lateShare = share;
    }

    void start(boolean firstLife) throws IOException {
        int thisLife;
        synchronized (this) {
            born = System.currentTimeMillis();
            bornNanoseconds = System.nanoTime();
            sequence = 0;
            up = true;
            draining = false;
            thisLife = ++life;
            listen(address);
        }
        record.add("executor %s up, born %d, labels %s", identity, born, labels);
        startHeartbeats(thisLife, firstLife ? 0 : FIRST_HEARTBEAT_MILLISECONDS, new CountDownLatch(1));
    }

    private void startHeartbeats(int thisLife, long delayMilliseconds, CountDownLatch acknowledged) {
        Thread heartbeats = new Thread(() -> sendHeartbeats(thisLife, delayMilliseconds, acknowledged), "heartbeats");
        heartbeats.setDaemon(true);
        heartbeats.start();
    }

    /** Ends the process: everything that runs is gone, and so is all that it knows. */
    void crash() {
        synchronized (this) {
            record.add("executor %s crashes with %s", identity, running.keySet());
            up = false;
            life++;
            running.clear();
            highestRuns.clear();
            ends.clear();
            endNumber = 0;
            fencingToken = 0;
            leaseEnd = 0;
            notifyAll();
        }
        stopListening();
    }

    /** Reports that this executor is draining; returns once that is acknowledged. */
    void drain() {
        int thisLife;
        synchronized (this) {
            draining = true;
            thisLife = ++life;
        }
        CountDownLatch acknowledged = new CountDownLatch(1);
        startHeartbeats(thisLife, /* delayMilliseconds= */ 0, acknowledged);
        try {
            acknowledged.await(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        record.add("%s is draining, and that is acknowledged", identity);
    }

    /** Tells that this executor ends, and ends it. */
    void leave() {
        try {
            int status = client.send(
                            HttpRequest.newBuilder(URI.create("http://" + controlAddress + "/instances/" + identity))
                                    .DELETE()
                                    .timeout(Duration.ofSeconds(1))
                                    .build(),
                            HttpResponse.BodyHandlers.discarding())
                    .statusCode();
            record.add("%s says that it ends: %d", identity, status);
        } catch (IOException e) {
            record.add("%s says that it ends: %s", identity, e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        crash();
    }

    /** Starts again under the same name, and reports itself at once. */
    void startNextVersion() throws IOException {
        start(/* firstLife= */ true);
    }

    /** Starts again under the same name, with other labels. */
    void restart(List<String> newLabels) throws IOException {
        synchronized (this) {
            labels = newLabels;
        }
        start(/* firstLife= */ false);
    }

    private long now() {
        return (System.nanoTime() - bornNanoseconds) / 1_000_000;
    }

    private void sendHeartbeats(int thisLife, long delayMilliseconds, CountDownLatch firstAcknowledged) {
        sleep(delayMilliseconds);
        boolean registered = false;
        while (true) {
            Map<String, Object> heartbeat = new LinkedHashMap<>();
            synchronized (this) {
                if (life != thisLife) {
                    return;
                }
                heartbeat.put("service", Deployment.SERVICE);
                heartbeat.put("address", address.getHostString() + ":" + address.getPort());
                heartbeat.put("zone", "zone-a");
                heartbeat.put("version", "v1");
                heartbeat.put("slots", 8);
                heartbeat.put("state", draining ? "draining" : "ready");
                heartbeat.put("coldRemainingMs", 0);
                heartbeat.put("capacity", Map.of("cpu", cpu, "memMb", 32_768, "gpu", 0));
                heartbeat.put("labels", labels);
                heartbeat.put("clockMs", now());
                heartbeat.put("born", born);
                heartbeat.put("sequence", ++sequence);
            }
            boolean acknowledged = false;
            try {
                acknowledged = !cutOff && client.send(
                                        HttpRequest.newBuilder(
                                                        URI.create("http://" + controlAddress + "/instances/" + identity))
                                                .header("Content-Type", "application/json")
                                                .PUT(HttpRequest.BodyPublishers.ofByteArray(Json.write(heartbeat)))
                                                .timeout(Duration.ofSeconds(1))
                                                .build(),
                                        HttpResponse.BodyHandlers.discarding())
                                .statusCode()
                        == 200;
            } catch (IOException e) {
                // Sent again soon.
            } catch (InterruptedException e) {
                return;
            }
            if (acknowledged) {
                registered = true;
                firstAcknowledged.countDown();
            }
            // An executor that nobody knows yet tries again soon.
            sleep(registered ? HEARTBEAT_MILLISECONDS : 100);
        }
    }

    static void sleep(long milliseconds) {
        try {
            Thread.sleep(milliseconds);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void endRuns() {
        while (true) {
            synchronized (this) {
                if (up) {
                    endDueRuns();
                }
            }
            sleep(2);
        }
    }

    private void endDueRuns() {
        long now = now();
        for (Map.Entry<String, Run> entry : List.copyOf(running.entrySet())) {
            Run run = entry.getValue();
            if (now > leaseEnd) {
                end(entry.getKey(), "lapsed");
            } else if (now >= run.stopAt()) {
                end(entry.getKey(), "stopped");
            } else if (!hanging && now - run.startedAt() >= run.duration()) {
                end(entry.getKey(), failing ? "failed" : "done");
            }
        }
    }

    private void end(String task, String how) {
        Run run = running.remove(task);
        endNumber++;
        ends.put(endNumber, List.of(endNumber, task, run.number(), how, ""));
        record.add("%s ends %s run %d %s as end %d", identity, task, run.number(), how, endNumber);
        listener.ended(this, task, run.number(), how);
        notifyAll();
    }

    @Override
    Answer answer(String method, String path, Map<String, String> query, Map<?, ?> body, HttpExchange exchange)
            throws InterruptedException {
        String expected = exchange.getRequestHeaders().getFirst("Expected-Instance");
        int lifeOfOrder;
        synchronized (this) {
            lifeOfOrder = life;
        }
        boolean late = ThreadLocalRandom.current().nextDouble() < lateShare;
        if (late) {
            Thread.sleep(ThreadLocalRandom.current().nextLong(2_000, 12_000));
        }
        Answer answer = execute(path, body, expected, lifeOfOrder);
        return late ? new Answer(0, Map.of()) : answer;
    }

    private Answer execute(String path, Map<?, ?> body, String expected, int lifeOfOrder)
            throws InterruptedException {
        synchronized (this) {
            if (!up || life != lifeOfOrder) {
                return new Answer(0, Map.of());
            }
            if (expected != null && !expected.equals(identity)) {
                return new Answer(421, Map.of());
            }
            endDueRuns();
            long token = body.get("fencingToken") instanceof Long number ? number : 0;
            if (token < fencingToken) {
                return refuse("fence");
            }
            fencingToken = token;
            return switch (path) {
                case "/run-start" -> startRun(body);
                case "/run-stop" -> stopRun(body);
                case "/hold" -> hold(body);
                default -> new Answer(404, Map.of());
            };
        }
    }

    private void extendLease(Map<?, ?> body) {
        if (body.get("untilMs") instanceof Long until) {
            leaseEnd = Math.max(leaseEnd, Math.min(until, now() + MAXIMUM_HOLD_MILLISECONDS));
        }
    }

    private Answer startRun(Map<?, ?> body) {
        String task = (String) body.get("task");
        long number = (long) body.get("run");
        Run present = running.get(task);
        if ((long) body.get("untilMs") <= now()) {
            return refuse("late");
        }
        extendLease(body);
        if (present != null && present.number() == number) {
            return clock();
        }
        if (present != null || number <= highestRuns.getOrDefault(task, 0L)) {
            return refuse("old");
        }
        String[] word = wordOf((String) body.get("spec"), task);
        long need = word.length > 1 ? Long.parseLong(word[1]) : Deployment.TASK_CPU;
        if (running.values().stream().mapToLong(Run::cpu).sum() + need > cpu) {
            if (guarding) {
                return refuse("room");
            }
            listener.overloaded(this, task);
        }
        highestRuns.put(task, number);
        long duration = Long.parseLong(word[0]);
        running.put(task, new Run(number, now(), duration, need, Long.MAX_VALUE));
        record.add("%s starts %s run %d, token %s, labels %s", identity, task, number, body.get("fencingToken"), labels);
        listener.started(this, task, number);
        return clock();
    }

    /** Returns what the spec says of a task: its last word has a duration for each step, or one for all. */
    private static String[] wordOf(String spec, String task) {
        String[] steps = spec.substring(spec.lastIndexOf(' ') + 1).split(",");
        int step = Integer.parseInt(task.split("\\.")[2]);
        return steps[Math.min(step, steps.length - 1)].split("/");
    }

    private Answer stopRun(Map<?, ?> body) {
        String task = (String) body.get("task");
        long number = (long) body.get("run");
        highestRuns.merge(task, number, Math::max);
        running.computeIfPresent(
                task,
                (key, run) -> run.number() <= number && run.stopAt() == Long.MAX_VALUE
                        ? new Run(run.number(), run.startedAt(), run.duration(), run.cpu(), now() + STOP_MILLISECONDS)
                        : run);
        record.add("%s is told to stop %s run %d", identity, task, number);
        return clock();
    }

    private Answer hold(Map<?, ?> body) throws InterruptedException {
        int thisLife = life;
        Map<Long, List<Object>> noted = ends.headMap((Long) body.get("ackCursor"), true);
        noted.values()
                .forEach(end -> listener.noted(this, (String) end.get(1), (long) end.get(2), (String) end.get(3)));
        noted.clear();
        extendLease(body);
        long deadline = now() + (body.get("waitMs") instanceof Long wait ? wait : 0);
        while (ends.isEmpty() && life == thisLife && now() < deadline) {
            wait(Math.max(1, deadline - now()));
        }
        if (life != thisLife) {
            return new Answer(0, Map.of());
        }
        List<Object> runningRows = new ArrayList<>();
        running.forEach((task, run) -> runningRows.add(List.of(
                task,
                run.number(),
                "",
                hanging ? 50 : Math.min(99, 100 * (now() - run.startedAt()) / Math.max(1, run.duration())),
                run.cpu())));
        Map<String, Object> listing = clock().body();
        listing.put("running", runningRows);
        listing.put("ended", ends.values().stream().limit(500).toList());
        return new Answer(200, listing);
    }

    private Answer clock() {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("clockMs", now());
        body.put("born", born);
        return new Answer(200, body);
    }

    private Answer refuse(String reason) {
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("clockMs", now());
        body.put("reason", reason);
        return new Answer(409, body);
    }
}
