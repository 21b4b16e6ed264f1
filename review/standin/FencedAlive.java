import java.util.ArrayList;
import java.util.List;

/**
 * Two entries are killed one after the other and start again; in between, the connections on which the third one follows the
 * store go silent. Each job that the entries accept afterwards must run.
 */
final class FencedAlive {
    private static final long RESTART_MILLISECONDS = 100;
    /** Each connection that follows a table is used for one call at a time, which lasts a second. */
    private static final long SILENCE_MILLISECONDS = 1_100;

    private static final int JOBS = 8;
    private static final long WORK_MILLISECONDS = 3_000;
    private static final int DEADLINE_MILLISECONDS = 2_000;
    /** contactMs after the last disruption and some more. */
    private static final long CALM_MILLISECONDS = 5_000;
    /** finish_s, and the 3 s for which a job may have nothing running. */
    private static final long FINISH_MILLISECONDS = 14_000 + 3_000;

    private FencedAlive() {}

    public static void main(String[] arguments) {
        Case.main(arguments, FencedAlive::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(3, 4, 20)) {
            deployment.startAll();
            String entry = deployment.fronts().get(0);
            String follower = deployment.fronts().get(1);
            if (trouble) {
                restart(deployment, deployment.fronts().get(2));
                long startedAt = Transcript.now();
                while (deployment.store.toldAt(follower) <= startedAt) {
                    Thread.sleep(1);
                }
                Thread.sleep(20);
                Transcript.event("the connections on which " + follower + " follows the store go silent");
                long silentAt = Transcript.now();
                deployment.store.fates = (node, request) -> node.equals(follower)
                                && request.path().equals("/rows-feed")
                                && Transcript.now() < silentAt + SILENCE_MILLISECONDS
                        ? Store.Fate.SILENT
                        : Store.Fate.NORMAL;
                restart(deployment, entry);
            }
            List<String> jobs = new ArrayList<>(submitAll(deployment, entry));
            Thread.sleep(CALM_MILLISECONDS);
            jobs.addAll(submitAll(deployment, entry));
            Thread.sleep(FINISH_MILLISECONDS);
            boolean held = true;
            for (String job : jobs) {
                if (deployment.runs(job).stream().noneMatch(run -> run.how.equals("done"))) {
                    held = false;
                    Transcript.event("accepted and not run: " + job + "; it has " + deployment.runs(job).size()
                            + " runs, GET answers " + deployment.call(follower, "GET", job, DEADLINE_MILLISECONDS));
                }
            }
            return held;
        }
    }

    private static void restart(Deployment deployment, String node) throws Exception {
        deployment.signal(node, "KILL");
        Thread.sleep(RESTART_MILLISECONDS);
        deployment.start(node);
        Transcript.event(node + " is started again");
    }

    /** Submits jobs, each anew until it is accepted. */
    private static List<String> submitAll(Deployment deployment, String entry) throws Exception {
        List<String> jobs = new ArrayList<>();
        long deadline = Transcript.now() + 10_000;
        while (jobs.size() < JOBS) {
            if (Transcript.now() > deadline) {
                throw new Case.NotRun("too few jobs were accepted");
            }
            String job = Workload.newIdentity();
            HttpClient.Answer answer =
                    deployment.submit(entry, job, true, 1, WORK_MILLISECONDS, DEADLINE_MILLISECONDS);
            if (answer.status() == 200) {
                Transcript.event("POST " + job + " at " + entry + ": " + answer);
                jobs.add(job);
            } else {
                Thread.sleep(2);
            }
        }
        return jobs;
    }
}
