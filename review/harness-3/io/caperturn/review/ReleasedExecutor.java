package io.caperturn.review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An executor is replaced by its next version under the same name: it drains, leaves and starts again. Its sidecar is
 * killed while it drains; the executor leaves a tenth of a second after the next sidecar process has listed its runs.
 */
final class ReleasedExecutor implements Case.Scenario {
    private static final List<String> ENTRIES = List.of("front-1", "front-2", "front-3");
    private static final long DRAIN_MILLISECONDS = 2_000;
    /** How much longer the executor serves at most: "a little longer (at times many seconds)". */
    private static final long LONGEST_DRAIN_MILLISECONDS = 8_000;

    private static final long LONGER_MILLISECONDS = 2_500;

    private static final long KILLED_AFTER_MILLISECONDS = 700;
    private static final long DOWN_MILLISECONDS = 1_000;
    private static final long TRAFFIC_MILLISECONDS = 16_000;

    /** When the end {@code done} of a run of each task was acknowledged. */
    private final Map<String, Long> doneNotedAt = new ConcurrentHashMap<>();

    private final List<String> startedAgain = new ArrayList<>();

    @Override
    public boolean play(EventRecord record, boolean trouble) throws Exception {
        Executor.RunListener listener = new Executor.RunListener() {
            @Override
            public void started(Executor executor, String task, long run) {
                Long notedAt = doneNotedAt.get(task);
                if (notedAt != null) {
                    synchronized (startedAgain) {
                        startedAgain.add(task);
                    }
                    record.add("TWICE: %s run %d starts on %s; an end done was acknowledged at %d",
                            task, run, executor.identity(), notedAt);
                }
            }

            @Override
            public void noted(Executor executor, String task, long run, String how) {
                if (how.equals("done")) {
                    doneNotedAt.putIfAbsent(task, record.now());
                }
            }
        };
        try (Deployment deployment = new Deployment(record, /* maximumAttempts= */ 3, listener)) {
            for (int number = 1; number <= 4; number++) {
                deployment.startSidecar("side-" + number, number, List.of("a", "r1-" + number));
            }
            for (int number = 1; number <= 3; number++) {
                deployment.startEntry("front-" + number, number, deployment.storeAddress());
            }
            deployment.awaitReady(ENTRIES, "");
            Thread release = new Thread(() -> release(deployment, record, trouble));
            release.start();
            long start = record.now();
            for (int number = 0; record.now() - start < TRAFFIC_MILLISECONDS; number++) {
                deployment.send(
                        ENTRIES.get(number % 3),
                        "POST",
                        String.format("a%015x", number),
                        Deployment.job(2, 1_200, "", /* stored= */ true));
                Thread.sleep(80);
            }
            release.join();
            Thread.sleep(2_000);
            if (System.getenv("LOGS") != null) {
                deployment.copyLogs(Path.of(System.getenv("LOGS")));
            }
        }
        record.add("%d starts of tasks after an end done was acknowledged", startedAgain.size());
        return startedAgain.isEmpty();
    }

    private static void release(Deployment deployment, EventRecord record, boolean trouble) {
        try {
            Thread.sleep(4_000);
            Executor executor = deployment.executor("side-1");
            executor.drain();
            long drainedAt = record.now();
            if (trouble) {
                Thread.sleep(KILLED_AFTER_MILLISECONDS);
                long tokenBefore = executor.fencingToken();
                deployment.killAndRestart("side-1", DOWN_MILLISECONDS);
                while (executor.fencingToken() == tokenBefore
                        && record.now() - drainedAt < LONGEST_DRAIN_MILLISECONDS) {
                    Thread.sleep(5);
                }
                record.add("the restarted sidecar has listed the runs of %s", executor.identity());
                Thread.sleep(100);
            } else {
                Thread.sleep(LONGER_MILLISECONDS);
            }
            Thread.sleep(Math.max(0, drainedAt + DRAIN_MILLISECONDS - record.now()));
            executor.leave();
            Thread.sleep(1_000);
            executor.startNextVersion();
        } catch (Exception e) {
            record.add("the release failed: %s", e);
        }
    }
}
