import java.util.Map;

/** Check of the runs of cancelled jobs. */
final class Cancelled {
    private Cancelled() {}

    /**
     * Returns whether all runs of cancelled jobs ended in time.
     *
     * @param acknowledgedAt when the cancelling of each job was acknowledged
     * @param bound time from then until its tasks must be gone, in milliseconds
     */
    static boolean haveStopped(
            Deployment deployment, String entry, Map<String, Long> acknowledgedAt, long bound) {
        boolean held = true;
        for (Map.Entry<String, Long> job : acknowledgedAt.entrySet()) {
            for (Executor.Run run : deployment.runs(job.getKey())) {
                if (run.ended == 0 || run.ended > job.getValue() + bound) {
                    held = false;
                    Transcript.event("runs on: " + run.task + " run " + run.number + " on " + run.executor + ", "
                            + (run.ended == 0 ? "still at work at " + Transcript.now() : "until " + run.ended)
                            + " ms; its job's cancelling was acknowledged at " + job.getValue() + " ms, GET answers "
                            + deployment.call(entry, "GET", job.getKey(), 2_000));
                }
            }
        }
        return held;
    }
}
