import java.util.ArrayList;
import java.util.List;

/**
 * LOST: an accepted job does not start although the executors are idle, because tasks that no executor can run now wait
 * in front of it.
 */
final class Starvation {
    private static final int SIDECARS = 7;
    private static final long CAPACITY = 16_000;
    /** Time from the end of the traffic until jobs are asked for. */
    private static final long FINISH_MILLISECONDS = 14_000;
    /** Time for which a job with nothing to wait for may have nothing running. */
    private static final long IDLE_MILLISECONDS = 3_000;

    private Starvation() {}

    public static void main(String[] arguments) {
        ReviewCase.main(arguments, Starvation::run);
    }

    private static List<String> run(RunLog log, boolean trouble) throws Exception {
        List<List<String>> labels = new ArrayList<>();
        for (int number = 1; number < SIDECARS; number++) {
            labels.add(List.of("a", "r1-" + number));
        }
        labels.add(List.of("b", "r1-" + SIDECARS));
        Deployment deployment = new Deployment(log, 2, SIDECARS, CAPACITY, labels);
        try {
            // The longer targetDurationMs of the second queue gives its jobs more time.
            deployment.configure(
                    1, List.of(Deployment.route("spot", 2, 60), Deployment.route("batch", 2, 60_000)));
            deployment.startAll();

            // Jobs in two steps; only the executor of kind b can run the second one. They are late when they reach it.
            for (int number = 1; number <= 3; number++) {
                Deployment.Answer accepted = deployment.submit(
                        1,
                        "spot",
                        String.format("00000000000000a%d", number),
                        List.of(
                                new Jobs.Step(1, 1_600, 500, 3_200, 0, ""),
                                new Jobs.Step(8, 1_600, 100, 100, 0, "b")));
                if (accepted.status() != 200) {
                    throw new IllegalStateException("a job of the first queue is not accepted: " + accepted);
                }
                if (number == 1 && trouble) {
                    deployment.executors().get(SIDECARS - 1).crash();
                }
                ExecutorStandIn.sleep(1_000);
            }
            ExecutorStandIn.sleep(4_000);

            // The last traffic of the day: jobs that every executor can run.
            List<String> others = new ArrayList<>();
            for (int number = 0; number < 4; number++) {
                String job = String.format("00000000000000b%d", number);
                Deployment.Answer answer = deployment.submit(
                        1, "batch", job, List.of(new Jobs.Step(2, 1_600, 500, 500, 0, "")));
                if (answer.status() == 200) {
                    others.add(job);
                }
            }
            if (others.isEmpty()) {
                throw new IllegalStateException("no later job is accepted");
            }
            double trafficEnd = log.now();
            ExecutorStandIn.sleep(FINISH_MILLISECONDS);

            List<String> breaches = new ArrayList<>();
            for (String job : others) {
                Deployment.Answer answer = deployment.recordState(1, "batch", job);
                if (!answer.isState("completed")) {
                    breaches.add("LOST: " + job + " is answered " + answer.status() + " " + answer.body());
                }
            }
            // For 3 s more, the jobs have nothing running, and most of the capacity is free.
            long capacity = (SIDECARS - (trouble ? 1 : 0)) * CAPACITY;
            double asked = log.now();
            while (log.now() < asked + IDLE_MILLISECONDS) {
                long used = deployment.executors().stream()
                        .mapToLong(ExecutorStandIn::usedCapacity)
                        .sum();
                if (used > 0) {
                    log.note("capacity in use: " + used + " of " + capacity);
                    breaches.clear();
                }
                ExecutorStandIn.sleep(50);
            }
            log.note("asked " + Math.round(asked - trafficEnd) + " ms after the end of the traffic; all " + capacity
                    + " thousandths of a core were free for " + Math.round(log.now() - asked) + " ms: "
                    + !breaches.isEmpty());
            return breaches;
        } finally {
            ReviewCase.close(deployment);
        }
    }
}
