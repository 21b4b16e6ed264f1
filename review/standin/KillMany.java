import java.util.ArrayList;
import java.util.List;

/**
 * One entry and most sidecars are killed at the same moment, and each starts again a short time later. Clients whose
 * connection broke send their jobs, which need not be stored, again resendMs later. No task may run twice at the same time.
 */
final class KillMany {
    /** Sidecars of the deployment, and how many of them are killed. */
    private static final int SIDECARS = 9;

    private static final int KILLED_SIDECARS = 7;
    /** Each killed sidecar starts again this much later than the one before; the first at once. */
    private static final long RESTART_STEP_MILLISECONDS = 70;
    private static final long RESEND_MILLISECONDS = 1_300;
    /** The kill comes this often, with some seconds between; it need not hit the lease of an executor each time. */
    private static final int ROUNDS = 3;

    private static final long CALM_MILLISECONDS = 3_000;
    private static final int JOBS = 30;
    private static final int TASKS = 1;
    private static final long WORK_MILLISECONDS = 4_000;
    private static final int DEADLINE_MILLISECONDS = 20_000;

    private KillMany() {}

    public static void main(String[] arguments) {
        Case.main(arguments, KillMany::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(3, SIDECARS, 10)) {
            deployment.startAll();
            List<String> jobs = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                jobs.addAll(playRound(deployment, trouble));
                Thread.sleep(CALM_MILLISECONDS);
            }
            return Runs.haveRunApart(deployment, jobs);
        }
    }

    private static List<String> playRound(Deployment deployment, boolean trouble) throws Exception {
        String entry = deployment.fronts().getFirst();
        List<String> jobs = new ArrayList<>();
        List<Thread> clients = new ArrayList<>();
        for (int number = 0; number < JOBS; number++) {
            String job = Workload.newIdentity();
            jobs.add(job);
            int second = 1 + number % 2;
            clients.add(Thread.ofVirtual().start(() -> request(deployment, job, second)));
            Thread.sleep(30);
        }
        Thread.sleep(1_500);
        if (trouble) {
            List<String> nodes = new ArrayList<>(deployment.sides().subList(0, KILLED_SIDECARS));
            nodes.addFirst(entry);
            for (String node : nodes) {
                deployment.signal(node, "KILL");
            }
            for (String node : nodes.subList(1, nodes.size())) {
                deployment.start(node);
                Thread.sleep(RESTART_STEP_MILLISECONDS);
            }
            deployment.start(entry);
            Transcript.event("all processes are started again");
        }
        for (Thread client : clients) {
            client.join();
        }
        return jobs;
    }

    private static void request(Deployment deployment, String job, int second) {
        for (int attempt = 0; attempt < 12; attempt++) {
            String entry = deployment.fronts().get(attempt == 0 ? 0 : second);
            Transcript.event("POST " + job + " to " + entry + ", attempt " + (attempt + 1));
            HttpClient.Answer answer = deployment.submit(
                    entry, job, false, TASKS, WORK_MILLISECONDS, DEADLINE_MILLISECONDS);
            Transcript.event("POST " + job + " at " + entry + ": " + answer);
            if (answer.status() == 200) {
                return;
            }
            try {
                Thread.sleep(RESEND_MILLISECONDS);
            } catch (InterruptedException e) {
                return;
            }
        }
    }
}
