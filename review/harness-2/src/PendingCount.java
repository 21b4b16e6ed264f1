import java.util.ArrayList;
import java.util.List;

/** MIXED: after the kill of the entry that owns waiting jobs, the others answer a queue's count with 0 for a while. */
final class PendingCount {
    private static final int SIDECARS = 3;
    private static final int WAITING_JOBS = 12;
    /** Age from which a job has to be counted: visible_ms and two seconds more. */
    private static final long VISIBLE_MILLISECONDS = 5_000;

    private PendingCount() {}

    public static void main(String[] arguments) {
        ReviewCase.main(arguments, PendingCount::run);
    }

    private static List<String> run(RunLog log, boolean trouble) throws Exception {
        Deployment deployment = new Deployment(log, 3, SIDECARS, 16_000, List.of(List.of("a", "r1-1")));
        try {
            deployment.configure(
                    1, List.of(Deployment.route("long", 2, 60_000), Deployment.route("queue", 2, 60_000)));
            deployment.startAll();
            // Another entry's tasks take all the room, so that the jobs wait.
            deployment.submit(
                    2, "long", "00000000000000b0", List.of(new Jobs.Step(SIDECARS, 16_000, 1_000, 40_000, 0, "")));
            ExecutorStandIn.sleep(1_000);
            int accepted = 0;
            for (int number = 0; number < WAITING_JOBS; number++) {
                String job = String.format("%016x", 0xb00000L + number);
                if (deployment.submit(1, "queue", job, List.of(new Jobs.Step(1, 1_600, 100, 100, 0, ""))).status()
                        == 200) {
                    accepted++;
                }
            }
            ExecutorStandIn.sleep(VISIBLE_MILLISECONDS + 1_000);
            if (accepted < WAITING_JOBS / 2 || log.runs().size() > SIDECARS) {
                throw new IllegalStateException("only " + accepted + " jobs wait");
            }
            if (trouble) {
                deployment.kill(Deployment.entryName(1));
            }
            List<String> breaches = new ArrayList<>();
            double end = log.now() + 6_000;
            while (log.now() < end) {
                for (int entry = 2; entry <= 3; entry++) {
                    Deployment.Answer answer = deployment.recordState(entry, "queue", "");
                    int count = answer.status() == 200
                            ? Integer.parseInt(answer.body().replaceAll("[^0-9]", ""))
                            : accepted;
                    if (2 * count < accepted) {
                        breaches.add("MIXED: " + Deployment.entryName(entry) + " answers pending " + count + " while "
                                + accepted + " accepted jobs wait");
                    }
                }
                ExecutorStandIn.sleep(100);
            }
            return breaches;
        } finally {
            ReviewCase.close(deployment);
        }
    }
}
