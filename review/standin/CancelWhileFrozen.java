import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The entry that owns stored jobs is frozen for two seconds. Clients cancel the jobs at another entry meanwhile, which
 * acknowledges it. Each task must be gone cancel_ms + stopTimeoutMs after its job's cancelling was acknowledged.
 */
final class CancelWhileFrozen {
    private static final long FREEZE_MILLISECONDS = 2_000;
    private static final long CANCEL_MILLISECONDS = 3_000;
    private static final long STOP_MILLISECONDS = 50;
    /** Time after the last bound for which the tasks are watched. */
    private static final long WATCH_MILLISECONDS = 12_000;

    private static final int JOBS = 6;
    private static final long WORK_MILLISECONDS = 60_000;

    private CancelWhileFrozen() {}

    public static void main(String[] arguments) {
        Case.main(arguments, CancelWhileFrozen::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(3, 3, 10)) {
            deployment.startAll();
            String owner = deployment.fronts().get(0);
            String other = deployment.fronts().get(1);
            List<String> jobs = new ArrayList<>();
            for (int number = 0; number < JOBS; number++) {
                String job = Workload.newIdentity();
                HttpClient.Answer accepted = deployment.submit(owner, job, true, 1, WORK_MILLISECONDS, 5_000);
                Transcript.event("POST " + job + " at " + owner + ": " + accepted);
                if (accepted.status() != 200) {
                    throw new Case.NotRun("a job was not accepted");
                }
                jobs.add(job);
            }
            Thread.sleep(2_000);
            if (jobs.stream().anyMatch(job -> deployment.runs(job).size() != 1)) {
                throw new Case.NotRun("not every task runs");
            }
            if (trouble) {
                deployment.signal(owner, "STOP");
            }
            long frozenAt = Transcript.now();
            Thread.sleep(300);
            Map<String, Long> acknowledgedAt = new HashMap<>();
            for (String job : jobs) {
                HttpClient.Answer answer = deployment.call(other, "DELETE", job, 5_000);
                Transcript.event("DELETE " + job + " at " + other + ": " + answer);
                if (answer.status() / 100 != 2 && answer.status() != 410) {
                    throw new Case.NotRun("a cancelling was not acknowledged");
                }
                acknowledgedAt.put(job, Transcript.now());
            }
            Thread.sleep(Math.max(0, frozenAt + FREEZE_MILLISECONDS - Transcript.now()));
            if (trouble) {
                deployment.signal(owner, "CONT");
            }
            long lastBound = Transcript.now() + CANCEL_MILLISECONDS + STOP_MILLISECONDS;
            while (Transcript.now() < lastBound + WATCH_MILLISECONDS) {
                Thread.sleep(100);
            }
            return Cancelled.haveStopped(deployment, other, acknowledgedAt, CANCEL_MILLISECONDS + STOP_MILLISECONDS);
        }
    }
}
