import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;

/** What a task of each submitted job does; executors know it by the name of the task, ID.K.STEP.INDEX. */
final class Jobs {
    /** Number of failing runs of a task that can never be done. */
    static final int ALWAYS = Integer.MAX_VALUE;

    private final Map<String, List<Step>> stepsByJob = new ConcurrentHashMap<>();

    /**
     * Step of a job.
     *
     * @param count number of its tasks
     * @param cpu thousandths of a core that each task needs
     * @param estimatedMilliseconds duration that the caller states
     * @param milliseconds duration on an executor
     * @param failingRuns number of runs that fail before one is done; {@link #ALWAYS} if it can never be done
     * @param label label that the executor must have; empty for none
     */
    record Step(int count, long cpu, long estimatedMilliseconds, long milliseconds, int failingRuns, String label) {
        /**
         * Returns the step as callers send it.
         *
         * @param number number of the step
         * @param afterAllEarlier whether it names all earlier steps that come before it, or the last of them only
         */
        Map<String, Object> toJson(int number, boolean afterAllEarlier) {
            Map<String, Object> json = new LinkedHashMap<>();
            json.put("count", count);
            json.put("cpu", cpu);
            json.put("memMb", 64);
            json.put("estimatedMs", estimatedMilliseconds);
            if (number > 0) {
                json.put(
                        "after",
                        IntStream.range(afterAllEarlier ? 0 : number - 1, number)
                                .boxed()
                                .toList());
            }
            if (!label.isEmpty()) {
                json.put("requirements", label);
            }
            return json;
        }
    }

    void add(String job, List<Step> steps) {
        stepsByJob.put(job, steps);
    }

    /** Returns the step of a task, or null if no caller has sent it. */
    Step stepOf(String task) {
        String[] parts = task.split("\\.");
        List<Step> steps = stepsByJob.get(parts[0]);
        int step = Integer.parseInt(parts[2]);
        return steps == null || step >= steps.size() ? null : steps.get(step);
    }
}
