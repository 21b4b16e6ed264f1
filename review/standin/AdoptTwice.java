import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Two entries are killed and start again one after the other, while a third of the writes to the store are done and not
 * answered. Later, when all jobs are over, the sidecars are restarted in turn, with or without that. No task of their stored jobs may run twice at the same time.
 */
final class AdoptTwice {
    private static final double LOST_SHARE = 0.35;
    private static final long FAULT_MILLISECONDS = 4_500;
    /** When the first killed entry starts again, and how much later the second one. */
    private static final long FIRST_RESTART_MILLISECONDS = 100;

    private static final long SECOND_RESTART_MILLISECONDS = 350;
    private static final int JOBS = 400;
    private static final int CLIENTS = 8;
    private static final long SHORT_WORK_MILLISECONDS = 6_000;
    private static final long LONG_WORK_MILLISECONDS = 15_000;
    private static final long WATCH_MILLISECONDS = 32_000;
    /** Time after the restart of the sidecars, in which they take note of the ends that are still listed. */
    private static final long NOTE_MILLISECONDS = 8_000;

    private AdoptTwice() {}

    public static void main(String[] arguments) {
        Case.main(arguments, AdoptTwice::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(3, 6, 200)) {
            deployment.startAll();
            List<String> entries = deployment.fronts();
            List<String> jobs = submitAll(deployment, entries);
            Thread.sleep(700);
            Transcript.event(jobs.size() + " jobs accepted, "
                    + jobs.stream().mapToInt(job -> deployment.runs(job).size()).sum() + " runs");
            if (trouble) {
                long faultEndsAt = Transcript.now() + FAULT_MILLISECONDS;
                SplittableRandom random = new SplittableRandom();
                deployment.store.fates = (node, request) -> {
                    synchronized (random) {
                        return request.method().equals("POST")
                                        && Transcript.now() < faultEndsAt
                                        && random.nextDouble() < LOST_SHARE
                                ? Store.Fate.ANSWER_LOST
                                : Store.Fate.NORMAL;
                    }
                };
                deployment.signal(entries.get(0), "KILL");
                deployment.signal(entries.get(1), "KILL");
                Thread.sleep(FIRST_RESTART_MILLISECONDS);
                deployment.start(entries.get(0));
                Thread.sleep(SECOND_RESTART_MILLISECONDS);
                deployment.start(entries.get(1));
            }
            Thread.sleep(WATCH_MILLISECONDS);
            restartSidecars(deployment);
            Thread.sleep(NOTE_MILLISECONDS);
            return Runs.haveRunOnce(deployment, jobs);
        }
    }

    /** Submits the jobs to the first two entries in turn, over several connections at a time. */
    private static List<String> submitAll(Deployment deployment, List<String> entries) throws InterruptedException {
        List<String> jobs = Collections.synchronizedList(new ArrayList<>());
        List<Thread> clients = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            String entry = entries.get(client % 2);
            clients.add(Thread.ofVirtual().start(() -> {
                for (int number = 0; number < JOBS / CLIENTS; number++) {
                    String job = Workload.newIdentity();
                    String body = Workload.uneven(2, 100, SHORT_WORK_MILLISECONDS, LONG_WORK_MILLISECONDS);
                    HttpClient.Answer answer = deployment.submit(entry, job, body, 5_000);
                    Transcript.event("POST " + job + " at " + entry + ": " + answer);
                    if (answer.status() == 200) {
                        jobs.add(job);
                    }
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        return List.copyOf(jobs);
    }

    /** Stops and starts each sidecar, as planned work does. */
    private static void restartSidecars(Deployment deployment) throws Exception {
        for (String sidecar : deployment.sides()) {
            deployment.signal(sidecar, "TERM");
            deployment.awaitEnd(sidecar);
            deployment.start(sidecar);
        }
        Transcript.event("all sidecars are started again");
    }
}
