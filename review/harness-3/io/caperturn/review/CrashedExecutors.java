package io.caperturn.review;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** The executor that runs the only task of a stored job crashes, three times; no run of the task fails. */
final class CrashedExecutors implements Case.Scenario {
    private static final String JOB = "a000000000000001";
    private static final String TASK = JOB + ".0.0.0";

    @Override
    public boolean play(EventRecord record, boolean trouble) throws Exception {
        AtomicInteger failures = new AtomicInteger();
        Executor.RunListener listener = new Executor.RunListener() {
            @Override
            public void started(Executor executor, String task, long run) {}

            @Override
            public void ended(Executor executor, String task, long run, String how) {
                if (how.equals("failed")) {
                    failures.incrementAndGet();
                }
            }
        };
        boolean shownFailed = false;
        try (Deployment deployment = new Deployment(record, /* maximumAttempts= */ 3, listener)) {
            for (int number = 1; number <= 5; number++) {
                deployment.startSidecar("side-" + number, number, List.of("a", "r1-" + number));
            }
            for (int number = 1; number <= 3; number++) {
                deployment.startEntry("front-" + number, number, deployment.storeAddress());
            }
            deployment.awaitReady(List.of("front-1", "front-2", "front-3"), "");
            deployment.request("front-1", "POST", JOB, Deployment.job(1, 6_000, "", /* stored= */ true));
            for (int crash = 0; crash < 3; crash++) {
                Executor executor = awaitRun(deployment);
                if (executor == null) {
                    break;
                }
                Thread.sleep(1_500);
                if (trouble) {
                    executor.crash();
                    Thread.sleep(2_000);
                    executor.restart(executor.labels());
                }
            }
            long deadline = record.now() + 25_000;
            String state = "";
            while (record.now() < deadline && !state.equals("completed") && !state.equals("failed")) {
                state = deployment.request("front-2", "GET", JOB, null).state();
                Thread.sleep(250);
            }
            shownFailed = state.equals("failed");
            if (System.getenv("LOGS") != null) {
                deployment.copyLogs(Path.of(System.getenv("LOGS")));
            }
        }
        record.add("%d runs ended failed; shown as failed: %s", failures.get(), shownFailed);
        return !shownFailed || failures.get() > 0;
    }

    /** Waits until an executor runs the task; returns it, or null if none does. */
    private static Executor awaitRun(Deployment deployment) throws InterruptedException {
        for (int attempt = 0; attempt < 1_000; attempt++) {
            for (Executor executor : deployment.executors()) {
                if (executor.isRunning(TASK)) {
                    return executor;
                }
            }
            Thread.sleep(10);
        }
        return null;
    }
}
