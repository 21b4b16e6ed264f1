import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * The store turns one entry away for some seconds and serves the others. A client gets no answer to the job that it
 * submits there, and cancels it at another entry, which acknowledges that. No task of the job may start later than
 * cancel_ms after that.
 */
final class CancelUnstored {
    private static final long OUTAGE_MILLISECONDS = 6_000;
    private static final int CLIENT_DEADLINE_MILLISECONDS = 1_500;
    private static final long CANCEL_MILLISECONDS = 3_000;
    /** Time after a disruption from which machines are in touch. */
    private static final long CONTACT_MILLISECONDS = 3_000;

    private static final int JOBS = 4;
    private static final int STEPS = 12;
    private static final long WORK_MILLISECONDS = 800;

    private CancelUnstored() {}

    public static void main(String[] arguments) {
        Case.main(arguments, CancelUnstored::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(3, 3, 10)) {
            deployment.startAll();
            String entry = deployment.fronts().get(0);
            String other = deployment.fronts().get(1);
            long outageEndsAt = Transcript.now() + OUTAGE_MILLISECONDS;
            if (trouble) {
                Transcript.event("the store turns " + entry + " away, without an answer");
                deployment.store.fates = (node, request) -> node.equals(entry) && Transcript.now() < outageEndsAt
                        ? Store.Fate.SILENT
                        : Store.Fate.NORMAL;
            }
            Map<String, Long> acknowledgedAt = new ConcurrentHashMap<>();
            for (int number = 0; number < JOBS; number++) {
                String job = Workload.newIdentity();
                HttpClient.Answer answer;
                try (HttpClient client = deployment.connect(entry)) {
                    answer = client.call(
                            "POST",
                            Deployment.PREFIX + job,
                            deployment.headers(CLIENT_DEADLINE_MILLISECONDS),
                            Workload.job(true, STEPS, 1, WORK_MILLISECONDS),
                            CLIENT_DEADLINE_MILLISECONDS);
                }
                Transcript.event("POST " + job + " at " + entry + ": " + answer);
                if (answer.status() == 429 || answer.status() == 503) {
                    continue;
                }
                HttpClient.Answer cancelled = deployment.call(other, "DELETE", job, 2_000);
                Transcript.event("DELETE " + job + " at " + other + ": " + cancelled);
                if (cancelled.status() / 100 == 2 || cancelled.status() == 410) {
                    acknowledgedAt.put(job, Transcript.now());
                }
            }
            if (acknowledgedAt.isEmpty()) {
                throw new Case.NotRun("no cancelling was acknowledged");
            }
            Thread.sleep(Math.max(0, outageEndsAt - Transcript.now()));
            Transcript.event("the store serves all machines");
            Thread.sleep(STEPS * (WORK_MILLISECONDS + 200) + 2_000);
            boolean held = true;
            for (Map.Entry<String, Long> job : acknowledgedAt.entrySet()) {
                long bound = Math.max(
                        job.getValue() + CANCEL_MILLISECONDS, trouble ? outageEndsAt + CONTACT_MILLISECONDS : 0);
                for (Executor.Run run : deployment.runs(job.getKey())) {
                    if (run.begun > bound) {
                        held = false;
                        Transcript.event("starts late: " + run.task + " on " + run.executor + " at " + run.begun
                                + " ms; its job's cancelling was acknowledged at " + job.getValue()
                                + " ms, and all machines are in touch again since "
                                + (outageEndsAt + CONTACT_MILLISECONDS) + " ms");
                    }
                }
                Transcript.event("GET " + job.getKey() + ": " + deployment.call(other, "GET", job.getKey(), 2_000));
            }
            return held;
        }
    }
}
