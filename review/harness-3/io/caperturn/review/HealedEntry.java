package io.caperturn.review;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One of three entries is partitioned from the store and from all other machines for some seconds. Another entry adopts
 * its stored jobs and completes them. After the partition has ended, clients ask both for the states of these jobs. All
 * that is done again, up to three times, until a wrong state is shown.
 */
final class HealedEntry implements Case.Scenario {
    private static final long CUT_MILLISECONDS = 5_500;
    private static final int ROUNDS = 3;
    private static final int JOBS = 24;
    private static final long SHORT_TASK_MILLISECONDS = 600;
    private static final long LONG_TASK_MILLISECONDS = 3_000;
    private static final String CUT_ENTRY = "front-3";

    @Override
    public boolean play(EventRecord record, boolean trouble) throws Exception {
        int wrong = 0;
        try (Deployment deployment = new Deployment(record, /* maximumAttempts= */ 3, (executor, task, run) -> {})) {
            CuttableProxy storeProxy = new CuttableProxy(deployment.linkAddress(3, 7), deployment.storeAddress());
            CuttableProxy linkProxy = new CuttableProxy(deployment.linkAddress(3, 3), deployment.linkAddress(1, 3));
            deployment.store()
                    .replaceAddress(
                            Deployment.text(deployment.linkAddress(1, 3)),
                            Deployment.text(deployment.linkAddress(3, 3)));
            for (int number = 1; number <= 4; number++) {
                deployment.startSidecar("side-" + number, number, List.of("a", "r1-1"));
            }
            for (int number = 1; number <= 3; number++) {
                deployment.startEntry(
                        "front-" + number,
                        number,
                        number == 3 ? deployment.linkAddress(3, 7) : deployment.storeAddress());
            }
            deployment.awaitReady(List.of("front-1", "front-2", CUT_ENTRY), "");
            for (int round = 0; round < ROUNDS && wrong == 0; round++) {
                wrong = playRound(record, deployment, round, trouble, storeProxy, linkProxy);
                Thread.sleep(2_000);
            }
            if (System.getenv("LOGS") != null) {
                deployment.copyLogs(Path.of(System.getenv("LOGS")));
            }
        }
        record.add("LOST: %d jobs that nobody has cancelled were shown as cancelled", wrong);
        return wrong == 0;
    }

    /** Returns the number of jobs that were shown as cancelled. */
    private static int playRound(
            EventRecord record,
            Deployment deployment,
            int round,
            boolean trouble,
            CuttableProxy storeProxy,
            CuttableProxy linkProxy)
            throws InterruptedException {
        List<String> jobs = new ArrayList<>();
        for (int number = 0; number < JOBS; number++) {
            String identity = String.format("%016x", 0xa000000000000000L + (round * JOBS + number) * 0x9e3779b97f4aL);
            if (deployment.request(CUT_ENTRY, "POST", identity, job()).status() == 200) {
                jobs.add(identity);
            }
        }
        Thread.sleep(SHORT_TASK_MILLISECONDS - 100);
        if (trouble) {
            record.add("%s is cut off", CUT_ENTRY);
            storeProxy.cutWithResets();
            linkProxy.cutWithResets();
        }
        Thread.sleep(CUT_MILLISECONDS);
        if (trouble) {
            storeProxy.heal();
            linkProxy.heal();
            record.add("the cut has ended");
        }
        Set<String> cancelled = new HashSet<>();
        long healedAt = record.now();
        while (record.now() - healedAt < 3_000) {
            for (String job : jobs) {
                if (deployment.request(CUT_ENTRY, "GET", job, null).state().equals("cancelled")) {
                    cancelled.add(job);
                }
            }
        }
        long completed = jobs.stream()
                .filter(job -> deployment
                        .request("front-1", "GET", job, null)
                        .state()
                        .equals("completed"))
                .count();
        record.add("%d of %d jobs are completed, %d were shown as cancelled", completed, jobs.size(), cancelled.size());
        return cancelled.size();
    }

    /** Returns a job of two independent tasks; the short one ends about when the cut begins, the other during it. */
    private static Map<String, Object> job() {
        Map<String, Object> job = Deployment.job(1, SHORT_TASK_MILLISECONDS, "", /* stored= */ true);
        List<Object> steps = new ArrayList<>((List<?>) job.get("steps"));
        steps.add(((List<?>) Deployment.job(1, LONG_TASK_MILLISECONDS, "", /* stored= */ true)
                        .get("steps"))
                .getFirst());
        job.put("steps", steps);
        job.put("spec", "text " + SHORT_TASK_MILLISECONDS + "," + LONG_TASK_MILLISECONDS);
        return job;
    }
}
