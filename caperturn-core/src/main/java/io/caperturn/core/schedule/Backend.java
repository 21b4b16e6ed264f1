package io.caperturn.core.schedule;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.UpstreamDescription;
import java.util.ArrayList;
import java.util.List;

/**
 * State of one sidecar and its upstream, as the scheduler knows it.
 *
 * <p>The concurrency limit rises by one with each success, is halved by each failure that counts, and starts anew from
 * one after probation.
 */
final class Backend {
    private static final int MAXIMUM_PAUSE_DOUBLINGS = 6;
    /** Weight of the newest observation in the mean overhead. */
    private static final double OVERHEAD_SMOOTHING = 0.1;

    private final ProcessId sidecar;
    private final int sequence;
    private final List<KindPool.PoolMember> poolMembers = new ArrayList<>();
    private final ServiceTimeModel.OverallSpeed overallSpeed;
    private UpstreamDescription upstream;
    private int overdueTasks;
    private double overdueFactor = 1;
    private boolean linked;
    private boolean serving;
    private int window;
    private int outstanding;
    private double overheadSeconds;
    private int concurrencyLimit;
    private int consecutiveFailures;
    private int ejections;
    private long firstProbeAt = Long.MIN_VALUE;
    private boolean ejected;
    private boolean full;
    private long fullUntil = Long.MIN_VALUE;
    private int refusals;
    private boolean onProbation;
    private SubmissionId lastFailedSubmission;
    private double completions;
    private double failures;

    Backend(
            ProcessId sidecar,
            int sequence,
            UpstreamDescription upstream,
            int concurrencyLimit,
            ServiceTimeModel.OverallSpeed overallSpeed) {
        this.overallSpeed = overallSpeed;
        this.sidecar = sidecar;
        this.sequence = sequence;
        this.upstream = upstream;
        this.concurrencyLimit = concurrencyLimit;
    }

    ProcessId sidecar() {
        return sidecar;
    }

    int sequence() {
        return sequence;
    }

    List<KindPool.PoolMember> poolMembers() {
        return poolMembers;
    }

    UpstreamDescription upstream() {
        return upstream;
    }

    boolean isLinked() {
        return linked;
    }

    boolean isServing() {
        return serving;
    }

    int outstanding() {
        return outstanding;
    }

    boolean isOnProbation() {
        return onProbation;
    }

    boolean isEjected() {
        return ejected;
    }

    long firstProbeAt() {
        return firstProbeAt;
    }

    /** Returns how many placements may be outstanding at this back end. */
    int capacity() {
        if (!serving || ejected || full) {
            return 0;
        }
        int usable = Math.min(window, Math.min(upstream.slots(), concurrencyLimit));
        return onProbation ? Math.min(1, usable) : usable;
    }

    boolean hasFreeSlot() {
        return outstanding < capacity();
    }

    /** Returns the fraction of the capacity in use once one more task is placed. */
    double load() {
        return (outstanding + 1.0) / Math.max(1, capacity());
    }

    void update(UpstreamDescription newUpstream, boolean newServing, int newWindow) {
        if (concurrencyLimit >= upstream.slots()) {
            concurrencyLimit = newUpstream.slots();
        }
        upstream = newUpstream;
        linked = true;
        serving = newServing;
        window = newWindow;
    }

    void setWindow(int newWindow) {
        window = newWindow;
    }

    void markUnlinked() {
        linked = false;
        serving = false;
        window = 0;
    }

    void taskPlaced() {
        outstanding++;
    }

    void taskFinished() {
        outstanding--;
    }

    ServiceTimeModel.OverallSpeed overallSpeed() {
        return overallSpeed;
    }

    /** Returns the largest ratio of running time to expected time among overdue tasks, 1 if there are none. */
    double overdueFactor() {
        return overdueFactor;
    }

    /** Records that a task has run for the given multiple of its expected time; it is counted the first time only. */
    void recordOverdueTask(boolean isFirstTime, double factor) {
        overdueTasks += isFirstTime ? 1 : 0;
        overdueFactor = Math.max(overdueFactor, factor);
    }

    /** Records that an overdue task finished; from then on its measured service time is used instead. */
    void overdueTaskFinished() {
        overdueTasks--;
        if (overdueTasks == 0) {
            overdueFactor = 1;
        }
    }

    /** Returns the mean time that a placement spends on links and in the sidecar's queue, in seconds. */
    double overheadSeconds() {
        return overheadSeconds;
    }

    void observeOverhead(double seconds) {
        overheadSeconds += OVERHEAD_SMOOTHING * (Math.max(0, seconds) - overheadSeconds);
    }

    void recordSuccess() {
        completions++;
        refusals = 0;
        consecutiveFailures = 0;
        lastFailedSubmission = null;
        if (onProbation) {
            onProbation = false;
            ejections = 0;
            concurrencyLimit = 1;
        }
        concurrencyLimit = Math.min(upstream.slots(), concurrencyLimit + 1);
    }

    /** Records a failure and returns whether it counts: a second failure in a row of the same submission does not. */
    boolean recordFailure(SubmissionId submission) {
        if (submission.equals(lastFailedSubmission)) {
            return false;
        }
        lastFailedSubmission = submission;
        failures++;
        consecutiveFailures++;
        concurrencyLimit = Math.max(1, concurrencyLimit / 2);
        return true;
    }

    SchedulerView.BackendView view() {
        SchedulerView.BackendStatus status = SchedulerView.BackendStatus.USED;
        if (isEjected()) {
            status = SchedulerView.BackendStatus.EJECTED;
        } else if (isOnProbation()) {
            status = SchedulerView.BackendStatus.PROBED;
        } else if (isFull()) {
            status = SchedulerView.BackendStatus.FULL;
        }
        return new SchedulerView.BackendView(sidecar, status, window, outstanding(), consecutiveFailures());
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Starts probation: from the given time on, the back end gets one task at a time until one succeeds. */
    void startProbation(long probeAt) {
        onProbation = true;
        firstProbeAt = probeAt;
    }

    /** Ends the probation because its cause is not this back end; an ejection in progress continues. */
    void endProbation() {
        onProbation = ejected;
    }

    /** Ejects the back end: it gets no tasks for a time that doubles with each ejection, then one task at a time. */
    void eject(long now, SchedulerPolicy.HealthPolicy policy) {
        long firstLength = policy.firstEjection().toNanos();
        long length = Math.min(policy.longestEjection().toNanos(), firstLength << Math.min(ejections, 20));
        ejections++;
        onProbation = true;
        ejected = true;
        firstProbeAt = now + length;
    }

    boolean isFull() {
        return full;
    }

    long fullUntil() {
        return fullUntil;
    }

    /**
     * Marks the back end as full after its sidecar refused a task: it gets no tasks for a time that doubles with each
     * refusal in a row.
     */
    void recordRefusal(long now, SchedulerPolicy.HealthPolicy policy) {
        full = true;
        fullUntil = now + (policy.refusalPause().toNanos() << Math.min(refusals, MAXIMUM_PAUSE_DOUBLINGS));
        refusals++;
    }

    /** Ends the pause after a refusal. */
    void endRefusalPause() {
        full = false;
    }

    /** Ends the ejection; the back end stays on probation and gets one task at a time. */
    void endEjection() {
        ejected = false;
    }

    /** Halves the weight of earlier outcomes. */
    void decayOutcomes() {
        completions /= 2;
        failures /= 2;
    }

    double completions() {
        return completions;
    }

    double failures() {
        return failures;
    }
}
