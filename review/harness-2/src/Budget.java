import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * BUDGET: after the kill of the entry that owns a job, the entry that adopts it counts too few of its failed runs, and
 * starts a task more often than its queue allows.
 */
final class Budget {
    private static final int SIDECARS = 4;
    private static final int MAXIMUM_ATTEMPTS = 4;
    private static final int KILLS = 5;
    private static final long TRAFFIC_MILLISECONDS = 3_000;
    private static final int CALLERS = 10;
    /** Pause of a caller after each job, in milliseconds. */
    private static final long PAUSE_MILLISECONDS = 50;
    /** Share of the jobs that can never be done. */
    private static final double POISON_SHARE = 0.1;

    private static final AtomicInteger NUMBERS = new AtomicInteger();

    private Budget() {}

    public static void main(String[] arguments) {
        ReviewCase.main(arguments, Budget::run);
    }

    private static List<String> run(RunLog log, boolean trouble) throws Exception {
        Deployment deployment = new Deployment(log, 2, SIDECARS, 16_000, List.of(List.of("a", "r1-1")));
        try {
            deployment.configure(
                    1,
                    List.of(
                            Deployment.route("short", MAXIMUM_ATTEMPTS, 60),
                            Deployment.route("long", MAXIMUM_ATTEMPTS, 60_000)));
            deployment.startAll();
            // The other entry has a task at work on each executor all the time, so that no lease lapses.
            deployment.submit(
                    2, "long", "00000000000000d1", List.of(new Jobs.Step(SIDECARS * 3, 100, 90_000, 90_000, 0, "")));
            ExecutorStandIn.sleep(1_000);
            if (deployment.executors().stream().anyMatch(executor -> executor.usedCapacity() == 0)) {
                throw new IllegalStateException("an executor has no long task");
            }
            for (int kill = 0; kill < KILLS; kill++) {
                List<Thread> callers = startCallers(deployment);
                ExecutorStandIn.sleep(TRAFFIC_MILLISECONDS);
                if (trouble) {
                    deployment.kill(Deployment.entryName(1));
                }
                for (Thread caller : callers) {
                    caller.interrupt();
                    caller.join();
                }
                ExecutorStandIn.sleep(1_000);
                if (trouble) {
                    deployment.start(Deployment.entryName(1));
                }
                ExecutorStandIn.sleep(7_000);
            }
            return Rules.startsOverBudget(log, MAXIMUM_ATTEMPTS);
        } finally {
            ReviewCase.close(deployment);
        }
    }

    private static List<Thread> startCallers(Deployment deployment) {
        List<Thread> callers = new ArrayList<>();
        for (int number = 0; number < CALLERS; number++) {
            Thread caller = new Thread(() -> submitJobs(deployment), "caller");
            caller.setDaemon(true);
            caller.start();
            callers.add(caller);
        }
        return callers;
    }

    /** Submits one stored job of one task after the other to the first entry, until interrupted. */
    private static void submitJobs(Deployment deployment) {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                boolean poison = ThreadLocalRandom.current().nextDouble() < POISON_SHARE;
                String job = String.format("%016x", 0xe00000L + NUMBERS.incrementAndGet());
                int failingRuns = poison ? Jobs.ALWAYS : 0;
                deployment.submit(1, "short", job, List.of(new Jobs.Step(1, 800, 70, 70, failingRuns, "")));
                Thread.sleep(PAUSE_MILLISECONDS);
            }
        } catch (InterruptedException e) {
            // The traffic has ended.
        }
    }
}
