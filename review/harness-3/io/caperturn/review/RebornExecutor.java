package io.caperturn.review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * An executor crashes and starts again as one of another kind, under the name and at the address that it had. Until its
 * first heartbeat it has told nobody its labels. Up to three executors do so, one after the other, until a task starts on
 * one without the label that it requires.
 */
final class RebornExecutor implements Case.Scenario {
    private static final List<String> ENTRIES = List.of("front-1", "front-2", "front-3");
    private static final String LABEL = "a";
    private static final int SIDECARS = 8;
    private static final int CRASHES = 3;
    private static final long TRAFFIC_MILLISECONDS = 12_000;
    private static final long DOWN_MILLISECONDS = 700;

    @Override
    public boolean play(EventRecord record, boolean trouble) throws Exception {
        List<String> wrongStarts = new ArrayList<>();
        Executor.RunListener listener = (executor, task, run) -> {
            if (!executor.labels().contains(LABEL)) {
                synchronized (wrongStarts) {
                    wrongStarts.add(task);
                }
                record.add("ROUTE: %s started %s, which requires %s, with labels %s",
                        executor.identity(), task, LABEL, executor.labels());
            }
        };
        try (Deployment deployment = new Deployment(record, /* maximumAttempts= */ 3, listener)) {
            for (int number = 1; number <= SIDECARS; number++) {
                deployment.startSidecar(
                        "side-" + number, number, List.of(number <= SIDECARS / 2 ? LABEL : "b", "r1-" + number));
            }
            for (int number = 1; number <= 3; number++) {
                deployment.startEntry("front-" + number, number, deployment.storeAddress());
            }
            deployment.awaitReady(ENTRIES, LABEL);
            Thread traffic = new Thread(() -> submit(deployment, record));
            traffic.start();
            Thread.sleep(3_000);
            for (int crash = 1; trouble && crash <= CRASHES && wrongStarts.isEmpty(); crash++) {
                Executor executor = deployment.executor("side-" + crash);
                executor.crash();
                Thread.sleep(DOWN_MILLISECONDS);
                executor.restart(List.of("b", "r1-" + crash));
                Thread.sleep(2_000);
            }
            traffic.join();
            Thread.sleep(1_000);
            if (System.getenv("LOGS") != null) {
                deployment.copyLogs(Path.of(System.getenv("LOGS")));
            }
        }
        record.add("%d tasks started on an executor without their label", wrongStarts.size());
        return wrongStarts.isEmpty();
    }

    private static void submit(Deployment deployment, EventRecord record) {
        long start = record.now();
        for (int number = 0; record.now() - start < TRAFFIC_MILLISECONDS; number++) {
            deployment.send(
                    ENTRIES.get(number % 3),
                    "POST",
                    String.format("a%015x", number),
                    Deployment.job(6, 600, LABEL, /* stored= */ true));
            Executor.sleep(80);
        }
    }
}
