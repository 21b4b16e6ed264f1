import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Check of the runs of each task against one another. */
final class Runs {
    private Runs() {}

    /** Returns whether no task had two runs at the same time. */
    static boolean haveRunApart(Deployment deployment, List<String> jobs) {
        boolean held = true;
        for (List<Executor.Run> runs : byTask(deployment, jobs)) {
            for (int index = 1; index < runs.size(); index++) {
                Executor.Run earlier = runs.get(index - 1);
                Executor.Run later = runs.get(index);
                long earlierEnd = earlier.ended == 0 ? Transcript.now() : earlier.ended;
                if (later.begun < earlierEnd) {
                    held = false;
                    Transcript.event("twice at the same time: " + describe(earlier, later));
                }
            }
        }
        return held;
    }

    /** Returns whether, besides, no task was started again after an end {@code done} that was taken note of. */
    static boolean haveRunOnce(Deployment deployment, List<String> jobs) {
        boolean held = haveRunApart(deployment, jobs);
        for (List<Executor.Run> runs : byTask(deployment, jobs)) {
            for (int index = 1; index < runs.size(); index++) {
                Executor.Run earlier = runs.get(index - 1);
                if (earlier.how.equals("done")) {
                    held &= earlier.noted == 0;
                    Transcript.event("again after it was done, "
                            + (earlier.noted == 0 ? "not taken note of: " : "taken note of at " + earlier.noted + " ms: ")
                            + describe(earlier, runs.get(index)));
                }
            }
        }
        return held;
    }

    private static List<List<Executor.Run>> byTask(Deployment deployment, List<String> jobs) {
        Map<String, List<Executor.Run>> runsByTask = new HashMap<>();
        for (String job : jobs) {
            deployment.runs(job).forEach(run -> runsByTask.computeIfAbsent(run.task, key -> new ArrayList<>()).add(run));
        }
        return List.copyOf(runsByTask.values());
    }

    private static String describe(Executor.Run earlier, Executor.Run later) {
        return earlier.task + " run " + earlier.number + " on " + earlier.executor + " from " + earlier.begun + " to "
                + earlier.ended + " ms (" + earlier.how + "), run " + later.number + " on " + later.executor + " from "
                + later.begun + " ms";
    }
}
