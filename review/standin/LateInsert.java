import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;

/**
 * For some seconds, a third of the writes to the store are not answered and performed five seconds later, and the entry
 * that wrote last is killed and starts again. Clients without an answer submit their jobs again at the other entries.
 * Each job that is accepted must run.
 */
final class LateInsert {
    /** Share of the writes that are performed late, and how late; the site file's platform_lost. */
    private static final double LATE_SHARE = 0.35;

    private static final long LATE_MILLISECONDS = 5_000;
    private static final long FAULT_MILLISECONDS = 4_500;
    private static final long RESTART_MILLISECONDS = 500;
    /** When a client without an answer submits its job again, after its first attempt. */
    private static final long RESUBMIT_MILLISECONDS = 7_000;
    /** finish_s, and the 3 s for which a job may have nothing running. */
    private static final long FINISH_MILLISECONDS = 14_000 + 3_000;

    private static final int JOBS = 24;

    private LateInsert() {}

    public static void main(String[] arguments) {
        Case.main(arguments, LateInsert::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(3, 3, 10)) {
            deployment.startAll();
            String entry = deployment.fronts().getFirst();
            SplittableRandom random = new SplittableRandom(39);
            long faultEndsAt = Transcript.now() + FAULT_MILLISECONDS;
            deployment.store.lateMilliseconds = LATE_MILLISECONDS;
            if (trouble) {
                deployment.store.fates = (node, request) -> {
                    synchronized (random) {
                        return request.method().equals("POST")
                                        && Transcript.now() < faultEndsAt
                                        && random.nextDouble() < LATE_SHARE
                                ? Store.Fate.LATE
                                : Store.Fate.NORMAL;
                    }
                };
            }
            Map<String, HttpClient.Answer> answers = new ConcurrentHashMap<>();
            List<Thread> clients = new ArrayList<>();
            for (int number = 0; number < JOBS; number++) {
                String job = Workload.newIdentity();
                clients.add(Thread.ofVirtual().start(() -> answers.put(job, submit(deployment, entry, job))));
            }
            Thread.sleep(100);
            if (trouble) {
                deployment.signal(entry, "KILL");
                Thread.sleep(RESTART_MILLISECONDS);
                deployment.start(entry);
                Transcript.event(entry + " is started again");
            }
            for (Thread client : clients) {
                client.join();
            }
            Thread.sleep(RESUBMIT_MILLISECONDS);
            List<String> others = deployment.fronts().subList(1, deployment.fronts().size());
            int number = 0;
            for (String job : List.copyOf(answers.keySet())) {
                if (answers.get(job).status() == 0) {
                    answers.put(job, submit(deployment, others.get(number++ % others.size()), job));
                }
            }
            Thread.sleep(FINISH_MILLISECONDS);
            boolean held = true;
            for (Map.Entry<String, HttpClient.Answer> job : answers.entrySet()) {
                boolean accepted = job.getValue().status() / 100 == 2;
                boolean done = deployment.runs(job.getKey()).stream().anyMatch(run -> run.how.equals("done"));
                if (accepted && !done) {
                    held = false;
                    Transcript.event("accepted and not run: " + job.getKey() + "; it has "
                            + deployment.runs(job.getKey()).size() + " runs, GET answers "
                            + deployment.call(others.getFirst(), "GET", job.getKey(), 2_000));
                }
            }
            return held;
        }
    }

    private static HttpClient.Answer submit(Deployment deployment, String entry, String job) {
        HttpClient.Answer answer = deployment.submit(entry, job, true, 1, 200, 5_000);
        Transcript.event("POST " + job + " at " + entry + ": " + answer);
        return answer;
    }
}
