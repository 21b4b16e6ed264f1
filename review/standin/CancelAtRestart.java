import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * An entry that owns stored jobs is killed and starts again; clients cancel the jobs there, one after the other. Each task
 * must be gone cancel_ms + stopTimeoutMs after its job's cancelling was acknowledged.
 */
final class CancelAtRestart {
    private static final long RESTART_MILLISECONDS = 500;
    private static final long CANCEL_MILLISECONDS = 3_000;
    private static final long STOP_MILLISECONDS = 50;
    /** Time after the last bound for which the tasks are watched. */
    private static final long WATCH_MILLISECONDS = 10_000;

    private static final int JOBS = 40;
    private static final long WORK_MILLISECONDS = 60_000;
    private static final int CLIENTS = 2;

    private CancelAtRestart() {}

    public static void main(String[] arguments) {
        Case.main(arguments, CancelAtRestart::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(3, 6, 10)) {
            deployment.startAll();
            String entry = deployment.fronts().getFirst();
            List<String> jobs = new ArrayList<>();
            for (int number = 0; number < JOBS; number++) {
                String job = Workload.newIdentity();
                HttpClient.Answer accepted = deployment.submit(entry, job, true, 1, WORK_MILLISECONDS, 5_000);
                Transcript.event("POST " + job + " at " + entry + ": " + accepted);
                if (accepted.status() == 200) {
                    jobs.add(job);
                }
            }
            long deadline = Transcript.now() + 6_000;
            while (Transcript.now() < deadline && jobs.stream().anyMatch(job -> deployment.runs(job).isEmpty())) {
                Thread.sleep(100);
            }
            Thread.sleep(1_000);
            if (jobs.size() < JOBS / 2 || jobs.stream().anyMatch(job -> deployment.runs(job).size() != 1)) {
                throw new Case.NotRun("not every task runs");
            }
            if (trouble) {
                deployment.signal(entry, "KILL");
                Thread.sleep(RESTART_MILLISECONDS);
                deployment.start(entry);
                Transcript.event(entry + " is started again");
            }
            Map<String, Long> acknowledgedAt = cancelAll(deployment, entry, jobs);
            long lastBound = Transcript.now() + CANCEL_MILLISECONDS + STOP_MILLISECONDS;
            while (Transcript.now() < lastBound + WATCH_MILLISECONDS) {
                Thread.sleep(100);
            }
            return Cancelled.haveStopped(deployment, entry, acknowledgedAt, CANCEL_MILLISECONDS + STOP_MILLISECONDS);
        }
    }

    /** Cancels the jobs over several connections; a cancelling that is not acknowledged is repeated. */
    private static Map<String, Long> cancelAll(Deployment deployment, String entry, List<String> jobs)
            throws Exception {
        Map<String, Long> acknowledgedAt = new ConcurrentHashMap<>();
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < CLIENTS; number++) {
            int first = number;
            clients.add(Thread.ofVirtual().start(() -> {
                for (int index = first; index < jobs.size(); index += CLIENTS) {
                    cancel(deployment, entry, jobs.get(index), acknowledgedAt);
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        if (acknowledgedAt.size() < jobs.size()) {
            throw new Case.NotRun("a cancelling was not acknowledged");
        }
        return acknowledgedAt;
    }

    private static void cancel(Deployment deployment, String entry, String job, Map<String, Long> acknowledgedAt) {
        long deadline = Transcript.now() + 20_000;
        while (Transcript.now() < deadline) {
            HttpClient.Answer answer = deployment.call(entry, "DELETE", job, 2_000);
            if (answer.status() / 100 == 2 || answer.status() == 410) {
                acknowledgedAt.put(job, Transcript.now());
                Transcript.event("DELETE " + job + " at " + entry + ": " + answer);
                return;
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
