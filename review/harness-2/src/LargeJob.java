import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * LOST: a job is accepted whose progress does not fit into a row of the store. Its ends are never acknowledged, so that
 * after a while no executor tells of any end, and other accepted jobs are not started either.
 */
final class LargeJob {
    private static final int SIDECARS = 3;
    private static final long CAPACITY = 16_000;
    private static final int STEPS = 230;
    private static final int SPEC_BYTES = 2_000;
    private static final int TASKS_OF_A_STEP = 4;
    private static final long TRAFFIC_MILLISECONDS = 50_000;
    private static final int SMALL_TASKS = 2;
    private static final int CALLERS = 4;
    private static final long PAUSE_MILLISECONDS = 60;
    private static final long FINISH_MILLISECONDS = 14_000;
    private static final long IDLE_MILLISECONDS = 3_000;

    private LargeJob() {}

    public static void main(String[] arguments) {
        ReviewCase.main(arguments, LargeJob::run);
    }

    private static List<String> run(RunLog log, boolean trouble) throws Exception {
        Deployment deployment = new Deployment(log, 2, SIDECARS, CAPACITY, List.of(List.of("a", "r1-1")));
        try {
            deployment.configure(
                    1, List.of(Deployment.route("batch", 2, 60_000), Deployment.route("queue", 2, 2_000)));
            deployment.startAll();
            // 920 tasks in steps that come one after the other. With the disruption each step names all earlier ones.
            List<Jobs.Step> steps =
                    Collections.nCopies(STEPS, new Jobs.Step(TASKS_OF_A_STEP, 9_000, 20, 20, 0, ""));
            String large = "00000000000000f0";
            Deployment.Answer answer = deployment.submit(
                    1, "batch", large, "x".repeat(SPEC_BYTES), steps, /* afterAllEarlier= */ trouble);
            if (answer.status() != 200) {
                throw new IllegalStateException("the large job is not accepted: " + answer);
            }
            List<String> jobs = Collections.synchronizedList(new ArrayList<>());
            AtomicInteger numbers = new AtomicInteger();
            double trafficEnd = log.now() + TRAFFIC_MILLISECONDS;
            List<Thread> callers = new ArrayList<>();
            for (int number = 0; number < CALLERS; number++) {
                Thread caller = new Thread(
                        () -> submitJobs(deployment, log, trafficEnd, numbers, jobs), "caller");
                caller.setDaemon(true);
                caller.start();
                callers.add(caller);
            }
            for (Thread caller : callers) {
                caller.join();
            }
            ExecutorStandIn.sleep(FINISH_MILLISECONDS);
            jobs.add(large);
            List<String> breaches = new ArrayList<>();
            for (String job : jobs) {
                Deployment.Answer state = deployment.state(2, job.equals(large) ? "batch" : "queue", job);
                // A job all of whose tasks have ended done has no task whose turn has come.
                boolean taskLeft = countDone(log, job) < (job.equals(large) ? STEPS * TASKS_OF_A_STEP : SMALL_TASKS);
                if (!state.isState("completed") && taskLeft) {
                    log.note("GET " + job + ": " + state);
                    breaches.add("LOST: " + job + " is answered " + state.status() + " " + state.body());
                }
            }
            double asked = log.now();
            while (log.now() < asked + IDLE_MILLISECONDS) {
                if (deployment.executors().stream().anyMatch(executor -> executor.usedCapacity() > 0)) {
                    log.note("capacity is in use");
                    breaches.clear();
                }
                ExecutorStandIn.sleep(20);
            }
            log.note("accepted jobs: " + jobs.size() + "; not completed: " + breaches.size()
                    + "; tasks of the large job that have ended done: " + countDone(log, large)
                    + "; calls that the store refused for size: "
                    + deployment.store().oversizedCalls());
            return breaches;
        } finally {
            ReviewCase.close(deployment);
        }
    }

    private static long countDone(RunLog log, String job) {
        return log.runs().stream()
                .filter(run -> run.task.startsWith(job) && run.how.equals("done"))
                .map(run -> run.task)
                .distinct()
                .count();
    }

    /** Submits one small stored job after the other to the second entry until the end of the traffic. */
    private static void submitJobs(
            Deployment deployment, RunLog log, double trafficEnd, AtomicInteger numbers, List<String> jobs) {
        try {
            while (log.now() < trafficEnd) {
                String job = String.format("%016x", 0xf00000L + numbers.incrementAndGet());
                List<Jobs.Step> steps = List.of(new Jobs.Step(SMALL_TASKS, 160, 50, 50, 0, ""));
                if (deployment.submit(2, "queue", job, steps).status() == 200) {
                    jobs.add(job);
                }
                Thread.sleep(PAUSE_MILLISECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
