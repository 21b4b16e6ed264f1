import java.util.ArrayList;
import java.util.List;

/**
 * LOST: when a few jobs that can never be done have failed on all executors, the entry lets no task start its last
 * attempt on any of them. Jobs that wait for that attempt neither run nor fail, for good.
 */
final class LastAttempt {
    private static final int SIDECARS = 3;
    private static final int SOUND_JOBS = 190;
    private static final int POISON_JOBS = 10;
    private static final int MAXIMUM_ATTEMPTS = 2;
    private static final long FINISH_MILLISECONDS = 14_000;
    private static final long IDLE_MILLISECONDS = 3_000;

    private LastAttempt() {}

    public static void main(String[] arguments) {
        ReviewCase.main(arguments, LastAttempt::run);
    }

    private static List<String> run(RunLog log, boolean trouble) throws Exception {
        Deployment deployment = new Deployment(log, 2, SIDECARS, 16_000, List.of(List.of("a", "r1-1")));
        try {
            deployment.configure(1, List.of(Deployment.route("queue", MAXIMUM_ATTEMPTS, 2_000)));
            deployment.startAll();
            List<String> jobs = new ArrayList<>();
            for (int number = 0; number < SOUND_JOBS; number++) {
                submit(deployment, jobs, number, /* failingRuns= */ 0);
                ExecutorStandIn.sleep(50);
            }
            if (trouble) {
                for (int number = 0; number < POISON_JOBS; number++) {
                    submit(deployment, jobs, SOUND_JOBS + number, Jobs.ALWAYS);
                    ExecutorStandIn.sleep(10);
                }
            }
            ExecutorStandIn.sleep(2_000);
            // The last one is a sound job whose first run fails by its own fault; the second one would be done.
            submit(deployment, jobs, SOUND_JOBS + POISON_JOBS, /* failingRuns= */ 1);
            ExecutorStandIn.sleep(FINISH_MILLISECONDS);
            List<String> breaches = new ArrayList<>();
            for (String job : jobs) {
                Deployment.Answer state = deployment.state(1, "queue", job);
                if (!state.isState("completed") && !state.isState("failed")) {
                    log.note("GET queue/" + job + ": " + state);
                    breaches.add("LOST: " + job + " is answered " + state.status() + " " + state.body());
                }
            }
            double asked = log.now();
            while (log.now() < asked + IDLE_MILLISECONDS) {
                if (deployment.executors().stream().anyMatch(executor -> executor.usedCapacity() > 0)) {
                    log.note("capacity is in use");
                    breaches.clear();
                }
                ExecutorStandIn.sleep(50);
            }
            log.note("accepted jobs: " + jobs.size() + "; without an end: " + breaches.size());
            return breaches;
        } finally {
            ReviewCase.close(deployment);
        }
    }

    private static void submit(Deployment deployment, List<String> jobs, int number, int failingRuns)
            throws InterruptedException {
        String job = String.format("%016x", 0xc0000L + number);
        // A task needs more than half of an executor.
        Jobs.Step step = new Jobs.Step(1, 9_000, 100, 100, failingRuns, "");
        if (deployment.submit(1, "queue", job, List.of(step)).status() == 200) {
            jobs.add(job);
        }
    }
}
