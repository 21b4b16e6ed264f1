package io.caperturn.jobs.simulation;

import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.TaskIdentity;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Record of all starts, kept by the upstreams: shows which tasks ran twice, whatever entries and sidecars believe.
 *
 * <p>A success is final once it is acknowledged, unless the lease of the upstream expired before that: then no entry
 * could have known of it in time. No task may start after its final success, and no two runs of a task may overlap.
 */
final class StartRecord {
    private final Map<TaskIdentity, RunIdentity> runningByTask = new HashMap<>();
    private final Map<TaskIdentity, Long> lastStarts = new HashMap<>();
    private final Set<TaskIdentity> succeededTasks = new HashSet<>();
    private final Set<TaskIdentity> acknowledgedTasks = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    private Observer observer = (run, upstream) -> {};
    private int starts;

    /** Observer of each start, called before the start is recorded. */
    interface Observer {
        /** A run starts at an upstream. */
        void runStarts(RunIdentity run, String upstream);
    }

    void observe(Observer newObserver) {
        observer = newObserver;
    }

    boolean isDone(TaskIdentity task) {
        return succeededTasks.contains(task);
    }

    void addViolation(String violation) {
        violations.add(violation);
    }

    void recordStart(RunIdentity run, String upstream, long now) {
        starts++;
        observer.runStarts(run, upstream);
        lastStarts.put(run.task(), now);
        RunIdentity other = runningByTask.put(run.task(), run);
        if (other != null) {
            violations.add(run + " started at " + upstream + " while " + other + " ran");
        }
        if (acknowledgedTasks.contains(run.task())) {
            violations.add(run + " started at " + upstream + " after its task was done");
        }
    }

    void recordCompletion(RunIdentity run) {
        runningByTask.remove(run.task(), run);
    }

    void recordSuccess(RunIdentity run) {
        succeededTasks.add(run.task());
    }

    /**
     * Records that a success was acknowledged, and that the lease of the upstream has not expired since the success.
     *
     * @param completedAt time of the success, in milliseconds
     */
    void recordAcknowledgement(RunIdentity run, long completedAt) {
        acknowledgedTasks.add(run.task());
        if (lastStarts.getOrDefault(run.task(), 0L) > completedAt) {
            violations.add(run + " was acknowledged as done after its task had started again");
        }
    }

    int starts() {
        return starts;
    }

    int doneCount() {
        return succeededTasks.size();
    }

    List<String> violations() {
        return violations;
    }
}
