package io.caperturn.review;

import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The entry at which most of a queue's waiting jobs were handed in is frozen; clients ask the others for their number. */
final class PendingCount implements Case.Scenario {
    private static final long FREEZE_MILLISECONDS = 4_000;
    private static final long VISIBLE_MILLISECONDS = 3_000;
    private static final long AGE_MILLISECONDS = 2_000;
    private static final int WAITING_JOBS = 20;
    private static final String FROZEN_ENTRY = "front-3";

    private final Set<String> started = ConcurrentHashMap.newKeySet();

    @Override
    public boolean play(EventRecord record, boolean trouble) throws Exception {
        int tooFew = 0;
        try (Deployment deployment =
                new Deployment(record, /* maximumAttempts= */ 3, (executor, task, run) -> started.add(task))) {
            for (int number = 1; number <= 3; number++) {
                deployment.startSidecar("side-" + number, number, List.of("a", "r1-" + number));
            }
            for (int number = 1; number <= 3; number++) {
                deployment.startEntry("front-" + number, number, deployment.storeAddress());
            }
            deployment.awaitReady(List.of("front-1", "front-2", FROZEN_ENTRY), "");
            // Fills all executors.
            for (int number = 0; number < 36; number++) {
                deployment.request(
                        "front-1",
                        "POST",
                        String.format("a%015x", number),
                        Deployment.job(1, 30_000, "", /* stored= */ true));
            }
            Thread.sleep(1_000);
            int waiting = 0;
            for (int number = 0; number < WAITING_JOBS; number++) {
                String identity = String.format("b%015x", number);
                int status = deployment
                        .request(FROZEN_ENTRY, "POST", identity, Deployment.job(1, 100, "", /* stored= */ true))
                        .status();
                waiting += status == 200 ? 1 : 0;
            }
            Thread.sleep(VISIBLE_MILLISECONDS + AGE_MILLISECONDS + 500);
            if (trouble) {
                deployment.signal(FROZEN_ENTRY, "STOP");
            }
            long frozenAt = record.now();
            while (record.now() - frozenAt < FREEZE_MILLISECONDS) {
                for (String entry : List.of("front-1", "front-2")) {
                    int pending = pending(deployment.request(entry, "GET", "", null).body());
                    boolean begun = started.stream().anyMatch(task -> task.startsWith("b"));
                    if (!begun && pending >= 0 && 2 * pending < waiting) {
                        tooFew++;
                        record.add("MIXED: %s gives %d as pending, %d wait", entry, pending, waiting);
                    }
                }
                Thread.sleep(100);
            }
            if (trouble) {
                deployment.signal(FROZEN_ENTRY, "CONT");
            }
            Thread.sleep(500);
            if (System.getenv("LOGS") != null) {
                deployment.copyLogs(Path.of(System.getenv("LOGS")));
            }
            if (waiting < WAITING_JOBS) {
                throw new IllegalStateException("only " + waiting + " jobs were accepted");
            }
        }
        record.add("%d answers gave under half of the waiting jobs", tooFew);
        return tooFew == 0;
    }

    private static int pending(String body) {
        Matcher matcher = Pattern.compile("\"pending\":(\\d+)").matcher(body);
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : -1;
    }
}
