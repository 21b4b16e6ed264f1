package io.caperturn.review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Stored jobs under random disruptions of the pages; not a case, but a search for one. */
final class Soak implements Case.Scenario {
    private static final int ATTEMPTS = 3;
    private static final int SIDES = 5;
    private final Random random = new Random(Long.parseLong(System.getenv().getOrDefault("SEED", "1")));
    private final String only = System.getenv().getOrDefault("ONLY", "");
    private final long lengthMilliseconds = Long.parseLong(System.getenv().getOrDefault("LENGTH", "60")) * 1_000;

    private final int pauseMilliseconds =
            Integer.parseInt(System.getenv().getOrDefault("PAUSE", "140"));
    private final int gapMilliseconds = Integer.parseInt(System.getenv().getOrDefault("GAP", "4000"));

    private static final class Job {
        String identity;
        List<List<Integer>> after = new ArrayList<>();
        List<Integer> counts = new ArrayList<>();
        long acceptedAt = -1;
        long cancelSentAt = -1;
        long cancelledAt = -1;
        boolean rejected;
    }

    private static final class Task {
        final Map<String, Long> runningAt = new HashMap<>();
        final Set<Long> notedFailures = new HashSet<>();
        final Set<Long> failures = new HashSet<>();
        boolean done;
        long doneNotedAt = -1;
    }

    private final Map<String, CuttableProxy> executorProxies = new HashMap<>();
    private final Map<String, Job> jobs = new TreeMap<>();
    private final Map<String, Task> tasks = new HashMap<>();
    private final List<String> broken = new ArrayList<>();
    private EventRecord record;

    private synchronized void report(String text) {
        broken.add(record.now() + " " + text);
        record.add("BROKEN %s", text);
    }

    private final class Checker implements Executor.RunListener {
        @Override
        public void started(Executor executor, String name, long run) {
            synchronized (Soak.this) {
                Task task = tasks.computeIfAbsent(name, key -> new Task());
                String[] parts = name.split("\\.");
                Job job = jobs.get(parts[0]);
                if (job == null) {
                    return;
                }
                task.runningAt.forEach((other, otherRun) -> {
                    if (!other.equals(executor.identity())) {
                        report("TWICE " + name + " run " + run + " on " + executor.identity() + " beside run " + otherRun
                                + " on " + other);
                    }
                });
                if (task.doneNotedAt >= 0) {
                    report("TWICE " + name + " run " + run + " starts after its done was noted at " + task.doneNotedAt);
                }
                if (task.notedFailures.size() >= ATTEMPTS) {
                    report("BUDGET " + name + " run " + run);
                }
                if (job.cancelledAt >= 0 && record.now() > job.cancelledAt + 3_000) {
                    report("UNASKED " + name + " starts, cancelled at " + job.cancelledAt);
                }
                for (int step : job.after.get(Integer.parseInt(parts[2]))) {
                    for (int index = 0; index < job.counts.get(step); index++) {
                        Task earlier = tasks.get(parts[0] + ".0." + step + "." + index);
                        if (earlier == null || !earlier.done) {
                            report("ORDER " + name);
                        }
                    }
                }
                task.runningAt.put(executor.identity(), run);
            }
        }

        @Override
        public void overloaded(Executor executor, String name) {
            report("LIMIT " + name + " on " + executor.identity());
        }

        @Override
        public void ended(Executor executor, String name, long run, String how) {
            synchronized (Soak.this) {
                Task task = tasks.computeIfAbsent(name, key -> new Task());
                task.runningAt.remove(executor.identity());
                task.done |= how.equals("done");
                if (how.equals("failed")) {
                    task.failures.add(run);
                }
            }
        }

        @Override
        public void noted(Executor executor, String name, long run, String how) {
            synchronized (Soak.this) {
                Task task = tasks.computeIfAbsent(name, key -> new Task());
                if (how.equals("done") && task.doneNotedAt < 0) {
                    task.doneNotedAt = record.now();
                } else if (how.equals("failed")) {
                    task.notedFailures.add(run);
                }
            }
        }
    }

    private synchronized void crashed(Executor executor) {
        tasks.values().forEach(task -> task.runningAt.remove(executor.identity()));
    }

    @Override
    public boolean play(EventRecord eventRecord, boolean trouble) throws Exception {
        record = eventRecord;
        try (Deployment deployment = new Deployment(record, ATTEMPTS, new Checker())) {
            CuttableProxy storeProxy = new CuttableProxy(deployment.linkAddress(3, 7), deployment.storeAddress());
            CuttableProxy linkProxy = new CuttableProxy(deployment.linkAddress(3, 3), deployment.linkAddress(1, 3));
            deployment.store().replaceAddress(
                    Deployment.text(deployment.linkAddress(1, 3)), Deployment.text(deployment.linkAddress(3, 3)));
            for (int number = 1; number <= SIDES; number++) {
                executorProxies.put(
                        "side-" + number,
                        deployment.startSidecar("side-" + number, number, List.of("a", "r1-1"), /* proxied= */ true));
            }
            for (int number = 1; number <= 3; number++) {
                deployment.startEntry(
                        "front-" + number,
                        number,
                        number == 3 ? deployment.linkAddress(3, 7) : deployment.storeAddress());
            }
            deployment.awaitReady(List.of("front-1", "front-2", "front-3"), "");
            long start = record.now();
            Thread clients = new Thread(() -> submit(deployment, start));
            clients.start();
            List<Thread> disruptions = new ArrayList<>();
            while (trouble && record.now() - start < lengthMilliseconds) {
                Thread thread = new Thread(() -> {
                    try {
                        disrupt(deployment, storeProxy, linkProxy);
                    } catch (Exception e) {
                        record.add("disruption failed: %s", e);
                    }
                });
                thread.start();
                disruptions.add(thread);
                Thread.sleep(random.nextInt(300, gapMilliseconds));
            }
            clients.join();
            for (Thread thread : disruptions) {
                thread.join();
            }
            record.add("traffic and disruptions are over");
            Thread.sleep(14_000);
            check(deployment);
            if (System.getenv("LOGS") != null) {
                deployment.copyLogs(Path.of(System.getenv("LOGS")));
            }
        }
        broken.forEach(line -> record.add("%s", line));
        record.add("%d jobs, %d breaks", jobs.size(), broken.size());
        return broken.isEmpty();
    }

    private static final List<String> KINDS = List.of(
            "kill-entry", "kill-sidecar", "freeze-entry", "freeze-sidecar", "cut", "core-cut", "crash", "crash", "late",
            "fail", "store-lost", "store-late", "store-slow", "store-busy", "store-reset", "kill-both", "term-entry",
            "kill-all-entries", "kill-all", "term-sidecar", "release", "reset-links", "hang", "store-partly", "release",
            "cut-executor", "cut-executor", "reset-executor");

    private void disrupt(Deployment deployment, CuttableProxy storeProxy, CuttableProxy linkProxy) throws Exception {
        List<String> kinds = only.isEmpty() ? KINDS : List.of(only.split(","));
        String kind = kinds.get(random.nextInt(kinds.size()));
        String entry = "front-" + random.nextInt(1, 4);
        String side = "side-" + random.nextInt(1, SIDES + 1);
        long length = random.nextInt(500, 5_500);
        record.add("disruption %s of %s or %s for %d", kind, entry, side, length);
        Store store = deployment.store();
        switch (kind) {
            case "kill-entry" -> deployment.killAndRestart(entry, length % 3_500);
            case "kill-sidecar" -> deployment.killAndRestart(side, length % 3_500);
            case "kill-both" -> {
                Thread other = new Thread(() -> {
                    try {
                        deployment.killAndRestart(side, length % 3_000);
                    } catch (Exception e) {
                        record.add("%s", e);
                    }
                });
                other.start();
                deployment.killAndRestart(entry, length % 2_000);
                other.join();
            }
            case "kill-all-entries", "kill-all" -> {
                List<Thread> threads = new ArrayList<>();
                for (String name : deployment.names()) {
                    if (kind.equals("kill-all") || name.startsWith("front")) {
                        Thread thread = new Thread(() -> {
                            try {
                                deployment.killAndRestart(name, 300 + length % 1_500);
                            } catch (Exception e) {
                                record.add("%s", e);
                            }
                        });
                        thread.start();
                        threads.add(thread);
                    }
                }
                for (Thread thread : threads) {
                    thread.join();
                }
            }
            case "term-entry" -> {
                deployment.signal(entry, "TERM");
                deployment.process(entry).waitFor(8, TimeUnit.SECONDS);
                deployment.killAndRestart(entry, 200);
            }
            case "freeze-entry", "freeze-sidecar" -> {
                String name = kind.equals("freeze-entry") ? entry : side;
                deployment.signal(name, "STOP");
                Thread.sleep(Math.min(length, 4_000));
                deployment.signal(name, "CONT");
            }
            case "cut" -> {
                storeProxy.cut();
                linkProxy.cut();
                Thread.sleep(length);
                storeProxy.heal();
                linkProxy.heal();
            }
            case "core-cut" -> {
                storeProxy.cut();
                Thread.sleep(length);
                storeProxy.heal();
            }
            case "crash" -> {
                Executor executor = deployment.executor(side);
                synchronized (executor.identity().intern()) {
                    executor.crash();
                    crashed(executor);
                    Thread.sleep(length % 4_500);
                    executor.restart(executor.labels());
                }
            }
            case "late" -> {
                deployment.executors().forEach(executor -> executor.carryOutLate(0.055));
                Thread.sleep(length);
                deployment.executors().forEach(executor -> executor.carryOutLate(0));
            }
            case "term-sidecar" -> {
                deployment.signal(side, "TERM");
                deployment.process(side).waitFor(8, TimeUnit.SECONDS);
                deployment.killAndRestart(side, 200);
            }
            case "release" -> {
                Executor executor = deployment.executor(side);
                synchronized (executor.identity().intern()) {
                    executor.drain();
                    Thread.sleep(2_000 + length % 2_000);
                    executor.leave();
                    crashed(executor);
                    Thread.sleep(300 + length % 1_500);
                    executor.startNextVersion();
                }
            }
            case "reset-links" -> {
                linkProxy.cutWithResets();
                linkProxy.heal();
            }
            case "cut-executor" -> {
                CuttableProxy proxy = executorProxies.get(side);
                deployment.executor(side).setCutOff(true);
                proxy.cut();
                Thread.sleep(length);
                proxy.heal();
                deployment.executor(side).setCutOff(false);
            }
            case "reset-executor" -> {
                executorProxies.get(side).cutWithResets();
                executorProxies.get(side).heal();
            }
            case "hang" -> {
                deployment.executor(side).setHanging(true);
                Thread.sleep(length);
                deployment.executor(side).setHanging(false);
            }
            case "store-partly" -> {
                store.turnAwayPart("p" + random.nextInt(4));
                Thread.sleep(Math.min(length, 4_500));
                store.turnAwayPart("-");
            }
            case "fail" -> {
                deployment.executor(side).setFailing(true);
                Thread.sleep(length);
                deployment.executor(side).setFailing(false);
            }
            case "store-lost", "store-late" -> {
                store.loseAnswers(0.35, kind.equals("store-late"));
                Thread.sleep(Math.min(length, 4_500));
                store.loseAnswers(0, false);
            }
            case "store-slow" -> {
                store.setAnswerMilliseconds(240);
                Thread.sleep(length);
                store.setAnswerMilliseconds(4);
            }
            case "store-busy", "store-reset" -> {
                store.turnAway(kind.substring(6));
                Thread.sleep(Math.min(length, 4_500));
                store.turnAway("");
            }
            default -> throw new IllegalArgumentException(kind);
        }
        record.add("end of %s of %s or %s", kind, entry, side);
    }

    private void submit(Deployment deployment, long start) {
        Random traffic = new Random(random.nextLong());
        for (int number = 0; record.now() - start < lengthMilliseconds; number++) {
            Job job = new Job();
            job.identity = String.format("%016x", traffic.nextLong() >>> 4 | 0xa000000000000000L);
            Map<String, Object> body = body(job, traffic);
            synchronized (this) {
                jobs.put(job.identity, job);
            }
            boolean cancel = traffic.nextInt(8) == 0;
            boolean again = traffic.nextInt(12) == 0;
            Thread.ofVirtual().start(() -> handIn(deployment, job, body, cancel, again));
            Executor.sleep(traffic.nextInt(20, pauseMilliseconds));
        }
    }

    private static Map<String, Object> body(Job job, Random traffic) {
        List<Object> steps = new ArrayList<>();
        StringBuilder durations = new StringBuilder();
        int count = traffic.nextInt(1, 4);
        for (int step = 0; step < count; step++) {
            int width = traffic.nextInt(1, 4);
            int milliseconds = traffic.nextInt(6) == 0 ? traffic.nextInt(1_000, 4_000) : traffic.nextInt(40, 500);
            long cpu = 800L * traffic.nextInt(1, 9);
            durations.append(step == 0 ? "" : ",").append(milliseconds).append('/').append(cpu);
            job.counts.add(width);
            job.after.add(step > 0 && traffic.nextBoolean() ? List.of(step - 1) : List.of());
            Map<String, Object> body = new LinkedHashMap<>();
            body.put("count", width);
            body.put("cpu", cpu);
            body.put("memMb", 64);
            body.put("estimatedMs", milliseconds);
            if (!job.after.get(step).isEmpty()) {
                body.put("after", job.after.get(step));
            }
            steps.add(body);
        }
        Map<String, Object> body = new LinkedHashMap<>();
        body.put("spec", "text " + durations);
        body.put("steps", steps);
        return body;
    }

    private void handIn(Deployment deployment, Job job, Map<String, Object> body, boolean cancel, boolean again) {
        int attempts = 0;
        while (job.acceptedAt < 0 && !job.rejected && attempts < 12) {
            String entry = "front-" + (1 + (attempts++ + job.identity.hashCode() & 0x7fffffff) % 3);
            int status = deployment.request(entry, "POST", job.identity, body).status();
            if (status / 100 == 2) {
                job.acceptedAt = record.now();
            } else if (status == 429 || status == 503) {
                job.rejected = attempts == 1;
                if (attempts > 1) {
                    return;
                }
            } else {
                Executor.sleep(300);
            }
        }
        if (job.acceptedAt < 0) {
            return;
        }
        if (again) {
            Executor.sleep(1_500);
            deployment.request("front-" + (1 + job.identity.hashCode() & 1), "POST", job.identity, body);
        }
        if (cancel) {
            Executor.sleep(200);
            synchronized (this) {
                job.cancelSentAt = record.now();
            }
            for (int attempt = 0; attempt < 30; attempt++) {
                int status = deployment.request("front-" + (1 + (attempt + job.identity.charAt(15)) % 3), "DELETE", job.identity, null).status();
                if (status / 100 == 2 || status == 410) {
                    synchronized (this) {
                        job.cancelledAt = record.now();
                    }
                    return;
                }
                Executor.sleep(500);
            }
            return;
        }
        for (int attempt = 0; attempt < 40; attempt++) {
            Deployment.Response response =
                    deployment.request("front-" + (1 + (attempt + job.identity.charAt(14)) % 3), "GET", job.identity, null);
            judge(job, response);
            if (response.state().equals("completed") && attempt % 4 == 3) {
                return;
            }
            Executor.sleep(400);
        }
    }

    private void judge(Job job, Deployment.Response response) {
        synchronized (this) {
            if (response.status() == 410) {
                report("LOST " + job.identity + " answered 410, accepted at " + job.acceptedAt);
            } else if (response.state().equals("cancelled") && job.cancelSentAt < 0) {
                report("LOST " + job.identity + " shown as cancelled");
            } else if (response.state().equals("failed")) {
                boolean cause = tasks.entrySet().stream()
                        .anyMatch(entry -> entry.getKey().startsWith(job.identity)
                                && entry.getValue().failures.size() >= ATTEMPTS);
                if (!cause) {
                    report("LOST failed " + job.identity);
                }
            } else if (response.state().equals("completed")) {
                for (int step = 0; step < job.counts.size(); step++) {
                    for (int index = 0; index < job.counts.get(step); index++) {
                        Task task = tasks.get(job.identity + ".0." + step + "." + index);
                        if (task == null || !task.done) {
                            report("MIXED " + job.identity);
                        }
                    }
                }
            }
        }
    }

    private void check(Deployment deployment) {
        for (Job job : jobs.values()) {
            if (job.acceptedAt < 0) {
                continue;
            }
            Deployment.Response response = deployment.request("front-1", "GET", job.identity, null);
            judge(job, response);
            if (job.cancelSentAt >= 0 && job.cancelledAt < 0) {
                report("ACKS cancel of " + job.identity + " unanswered");
            }
            if (job.cancelSentAt < 0
                    && !response.state().equals("completed")
                    && !response.state().equals("failed")) {
                report("LOST " + job.identity + " is " + response);
            }
        }
        for (Map.Entry<String, Task> entry : tasks.entrySet()) {
            Job job = jobs.get(entry.getKey().substring(0, 16));
            if (job != null && job.cancelledAt >= 0 && !entry.getValue().runningAt.isEmpty()) {
                report("UNASKED " + entry.getKey() + " still runs");
            }
        }
    }
}
