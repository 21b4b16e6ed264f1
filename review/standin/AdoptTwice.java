import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Two entries are killed and start again one after the other, while a third of the writes to the store are done and not
 * answered. No task of their stored jobs may run twice at the same time.
 */
final class AdoptTwice {
    private static final double LOST_SHARE = 0.35;
    private static final long FAULT_MILLISECONDS = 4_500;
    /** When the first killed entry starts again, and how much later the second one. */
    private static final long FIRST_RESTART_MILLISECONDS = 100;

    private static final long SECOND_RESTART_MILLISECONDS = 350;
    private static final int JOBS = 120;
    private static final long SHORT_WORK_MILLISECONDS = 5_000;
    private static final long LONG_WORK_MILLISECONDS = 15_000;
    private static final long WATCH_MILLISECONDS = 32_000;

    private AdoptTwice() {}

    public static void main(String[] arguments) {
        Case.main(arguments, AdoptTwice::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(3, 6, 200)) {
            deployment.startAll();
            List<String> entries = deployment.fronts();
            List<String> jobs = new ArrayList<>();
            for (int number = 0; number < JOBS; number++) {
                String job = Workload.newIdentity();
                HttpClient.Answer accepted = deployment.submit(
                        entries.get(number % 2), job, Workload.uneven(2, 100, SHORT_WORK_MILLISECONDS, LONG_WORK_MILLISECONDS), 5_000);
                if (accepted.status() == 200) {
                    jobs.add(job);
                }
            }
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
            return Runs.haveRunOnce(deployment, jobs);
        }
    }
}
