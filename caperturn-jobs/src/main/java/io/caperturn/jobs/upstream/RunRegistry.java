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

/**
 * Runs known to a sidecar process: queued, active on the upstream, or finished and not yet confirmed by their owner,
 * the entry that dispatched them last.
 */
final class RunRegistry {
    private static final Comparator<LocalRun> BY_LATEST_START = Comparator.comparingLong(LocalRun::latestStartAt)
            .thenComparing(run -> run.identity().toString());

    private final Map<RunIdentity, LocalRun> runs = new HashMap<>();
    private final List<LocalRun> queuedRuns = new ArrayList<>();
    /** Completions that the known incarnation of the upstream has listed. */
    private ListedCompletions completions = new ListedCompletions();
    /** Resources that the active runs need. */
    private Resources reservedResources = Resources.NONE;
    /** Estimated work of the queued runs, in thousandths of a core times milliseconds. */
    private long queuedWork;

    /** Resources that the queued runs need. */
    private Resources queuedResources = Resources.NONE;

    LocalRun findRun(RunIdentity identity) {
        return runs.get(identity);
    }

    Collection<LocalRun> allRuns() {
        return runs.values();
    }

    /** Returns the queued runs in the order of their latest start. */
    List<LocalRun> queuedRuns() {
        return queuedRuns;
    }

    /** Returns whether another run of the same task is queued or active. */
    boolean hasOtherRun(RunIdentity identity) {
        TaskIdentity task = identity.task();
        return runs.values().stream()
                .anyMatch(run -> run.identity().task().equals(task)
                        && run.identity().number() != identity.number()
                        && !run.isInPhase(LocalRun.Phase.ENDED));
    }

    /**
     * Returns whether the needs of an active run are unknown: the upstream listed it, but no entry has dispatched it to
     * this process.
     */
    boolean hasRunOfUnknownNeed() {
        return runs.values().stream()
                .anyMatch(run -> run.isActive() && run.requiredResources().equals(Resources.NONE));
    }

    /** Returns whether a run that has to be the only one on the upstream is queued or active. */
    boolean hasExclusiveRun() {
        return runs.values().stream().anyMatch(run -> run.isExclusive() && !run.isInPhase(LocalRun.Phase.ENDED));
    }

    void enqueue(LocalRun run) {
        runs.put(run.identity(), run);
        run.enterPhase(LocalRun.Phase.QUEUED);
        int position = 0;
        while (position < queuedRuns.size() && BY_LATEST_START.compare(queuedRuns.get(position), run) <= 0) {
            position++;
        }
        queuedRuns.add(position, run);
        queuedWork += run.estimatedWork();
        queuedResources = queuedResources.plus(run.requiredResources());
    }

    void dequeue(LocalRun run) {
        if (queuedRuns.remove(run)) {
            queuedWork -= run.estimatedWork();
            queuedResources = queuedResources.minus(run.requiredResources());
        }
    }

    /** Reserves the resources of a run whose start is ordered. */
    void reserveResources(LocalRun run) {
        reservedResources = reservedResources.plus(run.requiredResources());
    }

    /** Adds a run that the upstream listed but this process did not order. */
    LocalRun addDiscovered(RunIdentity identity, RunClaim claim, long now) {
        LocalRun run = new LocalRun(identity, now);
        run.setClaim(claim);
        run.enterPhase(LocalRun.Phase.RUNNING);
        runs.put(identity, run);
        return run;
    }

    /** Sets the details of a run from a dispatch, as a run that was discovered at the upstream has none. */
    void updateDetails(LocalRun run, JobFrame.Dispatch dispatch, Resources need, long latestStartAt) {
        boolean active = run.isActive();
        if (active) {
            reservedResources = reservedResources.minus(run.requiredResources());
        }
        run.setDetails(dispatch.payload(), need, dispatch.estimatedMilliseconds(), latestStartAt, dispatch.urgency());
        if (active) {
            reservedResources = reservedResources.plus(run.requiredResources());
        }
    }

    /**
     * Finishes a run. Also removes the run if the completion number is 0, which means that the upstream retains no
     * completion of this run.
     */
    void finish(LocalRun run, RunOutcome outcome, String reason, long completionNumber, long now) {
        if (run.isActive()) {
            reservedResources = reservedResources.minus(run.requiredResources());
        }
        dequeue(run);
        run.finish(outcome, reason, completionNumber, now);
        if (completionNumber == 0) {
            runs.remove(run.identity());
        }
    }

    /** Releases the resources reserved for a run that did not start. */
    void releaseResources(LocalRun run) {
        reservedResources = reservedResources.minus(run.requiredResources());
    }

    void removeRun(LocalRun run) {
        runs.remove(run.identity());
    }

    /** Returns the completions that the known incarnation of the upstream has listed. */
    ListedCompletions completions() {
        return completions;
    }

    /** Forgets the listed completions, because another incarnation of the upstream has been noticed. */
    void replaceIncarnation() {
        completions = new ListedCompletions();
    }

    /** Removes a finished run whose completion is stored or need not be stored. */
    void removeFinished(LocalRun run) {
        if (run.isInPhase(LocalRun.Phase.ENDED)) {
            runs.remove(run.identity());
            completions.confirm(run.completionNumber(), run.identity());
        }
    }

    /**
     * Allows the upstream to discard a completion that this process retains for a silent owner; returns false if this
     * was allowed before. The upstream lists a limited number of completions, and later ones only after earlier ones
     * are acknowledged.
     */
    boolean retainLocally(LocalRun run) {
        return completions.confirm(run.completionNumber(), run.identity());
    }

    Resources reservedResources() {
        return reservedResources;
    }

    Resources queuedResources() {
        return queuedResources;
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
