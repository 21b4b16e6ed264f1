package io.caperturn.review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The store is slow for some seconds while stored jobs are handed in. Its answers tell the newest version, which may be
 * that of another transaction by the time at which an answer is sent.
 */
final class SlowStore implements Case.Scenario {
    private static final List<String> ENTRIES = List.of("front-1", "front-2", "front-3");
    private static final long SLOW_MILLISECONDS = 4_500;
    /** With the usual 4 ms, sixty times as long as usual. */
    private static final long EXTRA_MILLISECONDS = 236;

    private static final long FINISH_MILLISECONDS = 14_000;
    private static final long STUCK_MILLISECONDS = 3_000;
    private static final int TASKS = 2;

    private final Set<String> done = ConcurrentHashMap.newKeySet();

    @Override
    public boolean play(EventRecord record, boolean trouble) throws Exception {
        int lost = 0;
        Executor.RunListener listener = new Executor.RunListener() {
            @Override
            public void started(Executor executor, String task, long run) {}

            @Override
            public void ended(Executor executor, String task, long run, String how) {
                if (how.equals("done")) {
                    done.add(task);
                }
            }
        };
        try (Deployment deployment = new Deployment(record, /* maximumAttempts= */ 3, listener)) {
            for (int number = 1; number <= 3; number++) {
                deployment.startSidecar("side-" + number, number, List.of("a", "r1-" + number));
            }
            for (int number = 1; number <= 3; number++) {
                deployment.startEntry("front-" + number, number, deployment.storeAddress());
            }
            deployment.awaitReady(ENTRIES, "");
            if (trouble) {
                record.add("the store is slow");
                deployment.store().slowDown(EXTRA_MILLISECONDS);
            }
            Set<String> accepted = ConcurrentHashMap.newKeySet();
            long start = record.now();
            for (int number = 0; record.now() - start < SLOW_MILLISECONDS; number++) {
                String identity = String.format("%016x", 0xa000000000000000L + number * 0x9e3779b97f4aL);
                deployment.send(ENTRIES.get(number % 3), "POST", identity, twoSteps()).thenAccept(response -> {
                    if (response.status() == 200) {
                        accepted.add(identity);
                    }
                });
                Thread.sleep(150);
            }
            deployment.store().slowDown(0);
            record.add("the store is as before");
            Thread.sleep(FINISH_MILLISECONDS);
            Set<String> idle = Set.copyOf(accepted);
            long checkedFrom = record.now();
            while (record.now() - checkedFrom < STUCK_MILLISECONDS) {
                idle = Set.copyOf(idle.stream().filter(job -> !isAtWork(deployment, job)).toList());
                Thread.sleep(20);
            }
            for (String job : idle) {
                String state = deployment.request("front-1", "GET", job, null).state();
                if (!state.equals("completed")
                        && done.containsAll(List.of(job + ".0.0.0", job + ".0.0.1"))
                        && !done.containsAll(List.of(job + ".0.1.0", job + ".0.1.1"))) {
                    lost++;
                    record.add(
                            "LOST: %s is %s; its first step is done, of its second one %d tasks are, and none runs",
                            job,
                            state,
                            done.stream()
                                    .filter(task -> task.startsWith(job + ".0.1."))
                                    .count());
                }
            }
            record.add(
                    "%d jobs were accepted, %d tasks at work at the end",
                    accepted.size(),
                    deployment.executors().stream()
                            .mapToInt(Executor::runningCount)
                            .sum());
            if (System.getenv("LOGS") != null) {
                deployment.copyLogs(Path.of(System.getenv("LOGS")));
            }
        }
        record.add("LOST: %d accepted jobs have a step whose turn has come and nothing running", lost);
        return lost == 0;
    }

    private static boolean isAtWork(Deployment deployment, String job) {
        for (int step = 0; step < 2; step++) {
            for (int index = 0; index < TASKS; index++) {
                String task = job + ".0." + step + "." + index;
                if (deployment.executors().stream().anyMatch(executor -> executor.isRunning(task))) {
                    return true;
                }
            }
        }
        return false;
    }

    private static Map<String, Object> twoSteps() {
        Map<String, Object> job = Deployment.job(TASKS, 300, "", /* stored= */ true);
        List<Object> steps = new ArrayList<>((List<?>) job.get("steps"));
        Map<String, Object> second = new LinkedHashMap<>();
        ((Map<?, ?>) steps.getFirst()).forEach((name, value) -> second.put((String) name, value));
        second.put("estimatedMs", 2_000);
        second.put("after", List.of(0));
        steps.add(second);
        job.put("steps", steps);
        job.put("spec", "text 300,2000");
        return job;
    }
}
