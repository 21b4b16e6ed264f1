package io.caperturn.review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Jobs whose stored form is larger than a row of the store are handed in at one entry, at the beginning of an outage of
 * the store. After the outage stored jobs go on being handed in at the other entries.
 */
final class BlockedWriter implements Case.Scenario {
    private static final long OUTAGE_MILLISECONDS = 4_000;
    private static final long TRAFFIC_MILLISECONDS = 30_000;
    private static final long FINISH_MILLISECONDS = 14_000;
    private static final int LARGE_JOBS = 4;
    /** Number of steps of a large job; each waits for all earlier ones. */
    private static final int LARGE_JOB_STEPS = 250;

    private final Set<String> started = ConcurrentHashMap.newKeySet();
    private final Set<String> done = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> endedAt = new ConcurrentHashMap<>();

    @Override
    public boolean play(EventRecord record, boolean trouble) throws Exception {
        Executor.RunListener listener = new Executor.RunListener() {
            @Override
            public void started(Executor executor, String task, long run) {
                started.add(task);
            }

            @Override
            public void ended(Executor executor, String task, long run, String how) {
                if (how.equals("done")) {
                    done.add(task);
                }
                endedAt.put(task, record.now());
            }
        };
        int lost = 0;
        int unansweredCancels = 0;
        try (Deployment deployment = new Deployment(record, /* maximumAttempts= */ 3, listener)) {
            for (int number = 1; number <= 4; number++) {
                deployment.startSidecar("side-" + number, number, List.of("a", "r1-" + number));
            }
            for (int number = 1; number <= 3; number++) {
                deployment.startEntry("front-" + number, number, deployment.storeAddress());
            }
            deployment.awaitReady(List.of("front-1", "front-2", "front-3"), "");
            List<String> earlierJobs = new ArrayList<>();
            for (int number = 0; number < 9; number++) {
                String identity = String.format("a%015x", number * 0x1234567L);
                if (deployment
                                .request(
                                        "front-1",
                                        "POST",
                                        identity,
                                        Deployment.job(4, 1_000, "", /* stored= */ true))
                                .status()
                        == 200) {
                    earlierJobs.add(identity);
                }
            }
            if (trouble) {
                record.add("the store is down");
                deployment.store().turnAway("reset");
            }
            List<CompletableFuture<Deployment.Response>> largeJobs = new ArrayList<>();
            for (int number = 0; number < LARGE_JOBS; number++) {
                largeJobs.add(deployment.send(
                        "front-1", "POST", String.format("c%015x", number * 0x1234567L), largeJob()));
            }
            Thread.sleep(OUTAGE_MILLISECONDS);
            if (trouble) {
                deployment.store().turnAway("");
                record.add("the store is back");
            }
            Thread.sleep(1_000);
            ConcurrentLinkedQueue<String> accepted = new ConcurrentLinkedQueue<>();
            long start = record.now();
            for (int number = 0; record.now() - start < TRAFFIC_MILLISECONDS; number++) {
                String identity = String.format("b%015x", number * 0x1234567L);
                deployment
                        .send("front-" + (2 + number % 2), "POST", identity, twoSteps())
                        .thenAccept(response -> {
                            if (response.status() == 200) {
                                accepted.add(identity);
                            }
                        });
                Thread.sleep(30);
            }
            List<CompletableFuture<Deployment.Response>> cancels = new ArrayList<>();
            for (String job : earlierJobs) {
                cancels.add(deployment.send("front-1", "DELETE", job, null));
            }
            Thread.sleep(FINISH_MILLISECONDS);
            for (CompletableFuture<Deployment.Response> cancel : cancels) {
                int status = cancel.join().status();
                unansweredCancels += status / 100 == 2 || status == 410 ? 0 : 1;
            }
            int running = deployment.executors().stream()
                    .mapToInt(Executor::runningCount)
                    .sum();
            for (String job : accepted) {
                String state = deployment.request("front-2", "GET", job, null).state();
                if (!state.equals("completed") && isStuck(job, record.now()) && running <= 4) {
                    lost++;
                    record.add("LOST: %s is %s; its first step is done, its second one has not begun", job, state);
                }
            }
            record.add("%d jobs accepted, %d tasks at work at the end", accepted.size(), running);
            if (System.getenv("LOGS") != null) {
                deployment.copyLogs(Path.of(System.getenv("LOGS")));
            }
        }
        record.add("LOST: %d jobs with a step whose turn has come and nothing running", lost);
        record.add("%d of 9 cancels unanswered", unansweredCancels);
        return lost == 0 && unansweredCancels < 3;
    }

    /** Returns whether the first step of a job was done over three seconds ago, and the second one has not begun. */
    private boolean isStuck(String job, long now) {
        Set<String> first = new HashSet<>(Set.of(job + ".0.0.0", job + ".0.0.1"));
        return done.containsAll(first)
                && first.stream().allMatch(task -> now - endedAt.get(task) > 3_000)
                && !started.contains(job + ".0.1.0")
                && !started.contains(job + ".0.1.1");
    }

    private static Map<String, Object> twoSteps() {
        Map<String, Object> job = Deployment.job(2, 30, "", /* stored= */ true);
        List<Object> steps = new ArrayList<>((List<?>) job.get("steps"));
        Map<String, Object> second = new LinkedHashMap<>();
        ((Map<?, ?>) steps.getFirst()).forEach((name, value) -> second.put((String) name, value));
        second.put("after", List.of(0));
        steps.add(second);
        job.put("steps", steps);
        return job;
    }

    private static Map<String, Object> largeJob() {
        List<Object> steps = new ArrayList<>();
        List<Integer> earlier = new ArrayList<>();
        for (int number = 0; number < LARGE_JOB_STEPS; number++) {
            Map<String, Object> step = new LinkedHashMap<>();
            step.put("count", 1);
            step.put("cpu", Deployment.TASK_CPU);
            step.put("memMb", 64);
            step.put("estimatedMs", 20);
            if (number > 0) {
                step.put("after", List.copyOf(earlier));
            }
            earlier.add(number);
            steps.add(step);
        }
        Map<String, Object> job = new LinkedHashMap<>();
        job.put("spec", "text 20");
        job.put("steps", steps);
        return job;
    }
}
