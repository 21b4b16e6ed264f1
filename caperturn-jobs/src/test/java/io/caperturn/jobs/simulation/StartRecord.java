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
 * Record of all starts of runs, kept by the simulated upstreams: shows which tasks ran twice, independently of what
 * entry and sidecar processes report.
 *
 * <p>A success is final once it is acknowledged to the upstream. If the upstream's lease expired before that, the
 * success does not count, because an entry may run the task again without knowing of it. No task may start after its
 * final success, and no two runs of a task may overlap.
 */
final class StartRecord {
    private final Map<TaskIdentity, RunIdentity> runningByTask = new HashMap<>();
    private final Map<TaskIdentity, Long> lastStartTimes = new HashMap<>();
    private final Set<TaskIdentity> succeededTasks = new HashSet<>();
    private final Set<TaskIdentity> acknowledgedTasks = new HashSet<>();
    private final List<String> violations = new ArrayList<>();
    /** Starts of a task while another run of it was active, which are among the violations too. */
    private final List<String> overlaps = new ArrayList<>();

    private final Map<TaskIdentity, Integer> crashesByTask = new HashMap<>();
    private int startsAfterThreeCrashes;
    private Observer observer = (run, upstream) -> {};
    private int startCount;

    /** Observer of each start. */
    interface Observer {
        /** Called before the start of a run at an upstream. */
        void beforeStart(RunIdentity run, String upstream);
    }

    void setObserver(Observer newObserver) {
        observer = newObserver;
    }

    boolean hasSucceeded(TaskIdentity task) {
        return succeededTasks.contains(task);
    }

    void addViolation(String violation) {
        violations.add(violation);
    }

    void recordStart(RunIdentity run, String upstream, long now) {
        startCount++;
        if (crashesUnder(run.task()) >= 3) {
            startsAfterThreeCrashes++;
        }
        observer.beforeStart(run, upstream);
        lastStartTimes.put(run.task(), now);
        RunIdentity other = runningByTask.put(run.task(), run);
        if (other != null) {
            String overlap = now + " " + run + " started at " + upstream + " while " + other + " ran";
            overlaps.add(overlap);
            violations.add(overlap);
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
     * @param completedAt time of the success, in virtual milliseconds
     */
    void recordAcknowledgement(RunIdentity run, long completedAt) {
        acknowledgedTasks.add(run.task());
        if (lastStartTimes.getOrDefault(run.task(), 0L) > completedAt) {
            violations.add(run + " was acknowledged as done after its task had started again");
        }
    }

    /** Records that an upstream crashed while a run of a task was active. */
    void recordCrash(TaskIdentity task) {
        crashesByTask.merge(task, 1, Integer::sum);
    }

    /** Returns how often an upstream crashed while a run of a task was active. */
    int crashesUnder(TaskIdentity task) {
        return crashesByTask.getOrDefault(task, 0);
    }

    /** Returns the number of starts of tasks under which three upstreams had crashed before. */
    int startsAfterThreeCrashes() {
        return startsAfterThreeCrashes;
    }

    int startCount() {
        return startCount;
    }

    int succeededTaskCount() {
        return succeededTasks.size();
    }

    /** Returns the starts of tasks while another run of them was active: all that a transient job must not do. */
    List<String> overlaps() {
        return overlaps;
    }

    List<String> violations() {
        return violations;
    }
}
