package io.caperturn.jobs.upstream;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.TaskIdentity;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Runs known to a sidecar: queued, active on the upstream, or finished and not yet confirmed by their owner. */
final class RunRegistry {
    private static final Comparator<LocalRun> BY_LATEST_START = Comparator.comparingLong(LocalRun::startBy)
            .thenComparing(run -> run.identity().toString());

    private final Map<RunIdentity, LocalRun> runs = new HashMap<>();
    private final List<LocalRun> queue = new ArrayList<>();
    /** Completions that the upstream must not discard yet, by their numbers. */
    private final TreeMap<Long, RunIdentity> completions = new TreeMap<>();
    /** Resources that the active runs need. */
    private Resources used = Resources.NONE;
    /** Estimated work of the queued runs, in thousandths of a core times milliseconds. */
    private long queuedWork;

    /** Resources that the queued runs need. */
    private Resources queuedNeed = Resources.NONE;
    /** Highest number of a completion that the upstream has listed. */
    private long highestCompletion;

    /** Number up to which completions have been acknowledged to the upstream. */
    private long acknowledged;

    LocalRun find(RunIdentity identity) {
        return runs.get(identity);
    }

    Collection<LocalRun> all() {
        return runs.values();
    }

    /** Returns the queued runs in the order of their latest start. */
    List<LocalRun> queue() {
        return queue;
    }

    /** Returns whether another run of the same task is queued or active. */
    boolean hasOtherRun(RunIdentity identity) {
        TaskIdentity task = identity.task();
        return runs.values().stream()
                .anyMatch(run -> run.identity().task().equals(task)
                        && run.identity().number() != identity.number()
                        && !run.isIn(LocalRun.Phase.ENDED));
    }

    void enqueue(LocalRun run) {
        runs.put(run.identity(), run);
        run.enterPhase(LocalRun.Phase.QUEUED);
        int position = 0;
        while (position < queue.size() && BY_LATEST_START.compare(queue.get(position), run) <= 0) {
            position++;
        }
        queue.add(position, run);
        queuedWork += run.work();
        queuedNeed = queuedNeed.plus(run.need());
    }

    void dequeue(LocalRun run) {
        if (queue.remove(run)) {
            queuedWork -= run.work();
            queuedNeed = queuedNeed.minus(run.need());
        }
    }

    /** Reserves the resources of a run whose start is ordered. */
    void reserve(LocalRun run) {
        used = used.plus(run.need());
    }

    /** Adds a run that the upstream listed but this process did not order. */
    LocalRun addDiscovered(RunIdentity identity, long now) {
        LocalRun run = new LocalRun(identity, now);
        run.enterPhase(LocalRun.Phase.RUNNING);
        runs.put(identity, run);
        return run;
    }

    /** Sets the resources and other details of a run from its owner's dispatch, as a discovered run has none. */
    void updateDetails(LocalRun run, JobFrame.Dispatch dispatch, long startBy) {
        boolean active = run.isActive();
        if (active) {
            used = used.minus(run.need());
        }
        run.setDetails(
                dispatch.payload(), dispatch.need(), dispatch.estimatedMilliseconds(), startBy, dispatch.urgency());
        if (active) {
            used = used.plus(run.need());
        }
    }

    /**
     * Finishes a run. Completion number 0 means that the upstream holds no completion of it; the run is then removed at
     * once.
     */
    void finish(LocalRun run, RunOutcome outcome, String reason, long completionNumber, long now) {
        if (run.isActive()) {
            used = used.minus(run.need());
        }
        dequeue(run);
        run.finish(outcome, reason, completionNumber, now);
        if (completionNumber == 0) {
            runs.remove(run.identity());
        }
    }

    /** Releases the resources reserved for a run that did not start. */
    void release(LocalRun run) {
        used = used.minus(run.need());
    }

    void remove(LocalRun run) {
        runs.remove(run.identity());
    }

    /** Records a completion that the upstream listed; returns false if it was recorded before. */
    boolean recordCompletion(long number, RunIdentity identity) {
        if (number <= highestCompletion) {
            return false;
        }
        highestCompletion = number;
        completions.put(number, identity);
        return true;
    }

    /** Removes a finished run whose completion is stored or need not be stored. */
    void removeFinished(LocalRun run) {
        if (run.isIn(LocalRun.Phase.ENDED)) {
            runs.remove(run.identity());
            completions.remove(run.completionNumber());
        }
    }

    /**
     * Lets the upstream discard a completion that this process retains for a silent owner. The upstream lists a limited
     * number of completions, and later ones only after earlier ones are acknowledged. Returns false if this was done
     * before.
     */
    boolean retainLocally(LocalRun run) {
        return completions.remove(run.completionNumber()) != null;
    }

    /** Returns the number up to which the upstream may discard completions. */
    long highestAcknowledgeable() {
        return completions.isEmpty() ? highestCompletion : completions.firstKey() - 1;
    }

    long acknowledged() {
        return acknowledged;
    }

    void setAcknowledged(long number) {
        acknowledged = Math.max(acknowledged, number);
    }

    /** Resets the completion numbers, which start again with each incarnation of the upstream. */
    void resetCompletions() {
        completions.clear();
        highestCompletion = 0;
        acknowledged = 0;
    }

    Resources used() {
        return used;
    }

    Resources queuedNeed() {
        return queuedNeed;
    }

    long queuedWork() {
        return queuedWork;
    }

    int activeCount() {
        int count = 0;
        for (LocalRun run : runs.values()) {
            if (run.isActive()) {
                count++;
            }
        }
        return count;
    }
}
