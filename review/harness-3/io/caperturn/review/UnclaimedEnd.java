package io.caperturn.review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;

/**
 * An executor is cut off from all machines for some seconds and runs on. Tasks of a stored job end there while it is cut
 * off; another task of that job, elsewhere, goes on for long. Then many short jobs are handed in.
 */
final class UnclaimedEnd implements Case.Scenario {
    private static final List<String> ENTRIES = List.of("front-1", "front-2", "front-3");
    private static final int SIDECARS = 6;
    private static final long CUT_MILLISECONDS = 4_000;
    private static final long TRAFFIC_MILLISECONDS = 28_000;
    private static final long FINISH_MILLISECONDS = 14_000;
    private static final long STUCK_MILLISECONDS = 3_000;

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
            CuttableProxy proxy =
                    deployment.startSidecar("side-1", 1, List.of("a", "r1-1"), /* proxied= */ true);
            for (int number = 2; number <= SIDECARS; number++) {
                deployment.startSidecar("side-" + number, number, List.of("a", "r1-" + number));
            }
            for (int number = 1; number <= 3; number++) {
                deployment.startEntry("front-" + number, number, deployment.storeAddress());
            }
            deployment.awaitReady(ENTRIES, "");
            // Short tasks on all executors, and a long one.
            Map<String, Object> longJob = job(54, 700, 1, 100_000, /* ordered= */ false);
            deployment.request("front-1", "POST", "c000000000000001", longJob);
            for (int check = 0; check < 300 && !deployment.executor("side-1").isRunningAny("c0"); check++) {
                Thread.sleep(10);
            }
            Thread.sleep(350);
            if (trouble) {
                record.add("i-side-1 is cut off");
                deployment.executor("side-1").setCutOff(true);
                proxy.cut();
            }
            Thread.sleep(CUT_MILLISECONDS);
            if (trouble) {
                deployment.executor("side-1").setCutOff(false);
                proxy.heal();
                record.add("the cut has ended");
            }
            Thread.sleep(1_000);
            Set<String> accepted = ConcurrentHashMap.newKeySet();
            long start = record.now();
            for (int number = 0; record.now() - start < TRAFFIC_MILLISECONDS; number++) {
                String identity = String.format("%016x", 0xa000000000000000L + number * 0x9e3779b97f4aL);
                deployment
                        .send(ENTRIES.get(number % 3), "POST", identity, job(4, 140, 4, 140, /* ordered= */ true))
                        .thenAccept(response -> {
                            if (response.status() == 200) {
                                accepted.add(identity);
                            }
                        });
                Thread.sleep(25);
            }
            Thread.sleep(FINISH_MILLISECONDS);
            Set<String> idle = Set.copyOf(accepted);
            long checkedFrom = record.now();
            while (record.now() - checkedFrom < STUCK_MILLISECONDS) {
                idle = Set.copyOf(idle.stream()
                        .filter(job -> deployment.executors().stream().noneMatch(executor -> executor.isRunningAny(job)))
                        .toList());
                Thread.sleep(20);
            }
            for (String job : idle) {
                if (done.containsAll(tasksOf(job, 0))
                        && !done.containsAll(tasksOf(job, 1))) {
                    lost++;
                    record.add(
                            "LOST: %s is %s; its first step is done, its second one isn't, and nothing runs",
                            job,
                            deployment.request("front-1", "GET", job, null).state());
                }
            }
            record.add(
                    "%d jobs were accepted, %d tasks at work at the end, %s ends listed",
                    accepted.size(),
                    deployment.executors().stream()
                            .mapToInt(Executor::runningCount)
                            .sum(),
                    deployment.executors().stream()
                            .map(Executor::unacknowledgedCount)
                            .toList());
            if (System.getenv("LOGS") != null) {
                deployment.copyLogs(Path.of(System.getenv("LOGS")));
            }
        }
        record.add("LOST: %d accepted jobs have a step whose turn has come and nothing running", lost);
        return lost == 0;
    }

    private static List<String> tasksOf(String job, int step) {
        return IntStream.range(0, 4)
                .mapToObj(index -> job + ".0." + step + "." + index)
                .toList();
    }

    private static Map<String, Object> job(
            int firstCount, long firstMilliseconds, int secondCount, long secondMilliseconds, boolean ordered) {
        Map<String, Object> job = Deployment.job(firstCount, firstMilliseconds, "", /* stored= */ true);
        List<Object> steps = new ArrayList<>((List<?>) job.get("steps"));
        Map<String, Object> second = new LinkedHashMap<>();
        ((Map<?, ?>) steps.getFirst()).forEach((name, value) -> second.put((String) name, value));
        second.put("count", secondCount);
        second.put("estimatedMs", secondMilliseconds);
        if (ordered) {
            second.put("after", List.of(0));
        }
        steps.add(second);
        job.put("steps", steps);
        job.put("spec", "text " + firstMilliseconds + "," + secondMilliseconds);
        return job;
    }
}
