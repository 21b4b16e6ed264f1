package io.caperturn.review;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * Some of the links of an entry are reset, and a stored job that it owns, with tasks on all executors, is cancelled there
 * before they are open again.
 */
final class CancelledRun implements Case.Scenario {
    private static final int SIDECARS = 5;
    private static final int TASKS = 50;
    private static final double RESET_SHARE = 0.55;
    private static final long CONTACT_MILLISECONDS = 3_000;
    private static final long CANCEL_MILLISECONDS = 3_000;
    private static final long STOP_MILLISECONDS = 50;
    private static final String JOB = "a000000000000001";

    @Override
    public boolean play(EventRecord record, boolean trouble) throws Exception {
        long longest = 0;
        int runningOn = 0;
        try (Deployment deployment = new Deployment(record, /* maximumAttempts= */ 3, (executor, task, run) -> {})) {
            InetSocketAddress own = deployment.linkAddress(1, 3);
            InetSocketAddress seen = deployment.linkAddress(3, 3);
            CuttableProxy links = new CuttableProxy(seen, own);
            deployment.store().replaceAddress(Deployment.text(own), Deployment.text(seen));
            for (int number = 1; number <= SIDECARS; number++) {
                deployment.startSidecar("side-" + number, number, List.of("a", "r1-1"));
            }
            for (int number = 1; number <= 3; number++) {
                deployment.startEntry("front-" + number, number, deployment.storeAddress());
            }
            deployment.awaitReady(List.of("front-1", "front-2", "front-3"), "");
            deployment.request("front-3", "POST", JOB, Deployment.job(TASKS, 20_000, "", /* stored= */ true));
            Thread.sleep(3_500);
            long resetAt = record.now();
            if (trouble) {
                int[] reset = links.resetSome(RESET_SHARE);
                record.add("%d of %d links of front-3 are reset", reset[0], reset[1]);
            }
            Thread.sleep(40);
            int status = deployment.request("front-3", "DELETE", JOB, null).status();
            long acknowledgedAt = record.now();
            record.add("the cancel is acknowledged with %d", status);
            if (status != 200) {
                throw new IllegalStateException("the cancel was answered " + status);
            }
            // The disruption is over for longer than contactMs by then.
            long due = Math.max(
                    acknowledgedAt + CANCEL_MILLISECONDS + STOP_MILLISECONDS, resetAt + CONTACT_MILLISECONDS + 50);
            Thread.sleep(due - record.now());
            while (record.now() - due < 3_000) {
                int running = deployment.executors().stream()
                        .mapToInt(executor -> executor.countRunning(JOB))
                        .sum();
                if (running > 0) {
                    longest = record.now() - acknowledgedAt;
                    runningOn = Math.max(runningOn, running);
                    record.add("UNASKED: %d tasks run %d ms after the acknowledgement", running, longest);
                }
                Thread.sleep(50);
            }
            if (System.getenv("LOGS") != null) {
                deployment.copyLogs(Path.of(System.getenv("LOGS")));
            }
        }
        record.add("%d tasks of the cancelled job ran on, up to %d ms after the acknowledgement", runningOn, longest);
        return runningOn == 0;
    }
}
