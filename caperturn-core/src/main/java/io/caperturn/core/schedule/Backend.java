package io.caperturn.core.schedule;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.UpstreamDescription;
import java.util.ArrayList;
import java.util.List;

/**
 * State of one sidecar and its upstream, as the scheduler knows it.
 *
 * <p>At most as many tasks are placed at a back end as its window, its slots and its concurrency limit allow. The
 * concurrency limit rises by one with each success, is halved by each failure that counts, and is reset to one when
 * probation ends with a success.
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
    private double overdueRatio = 1;
    private boolean linked;
    private boolean serving;
    private int window;
    private int outstanding;
    private double overheadSeconds;
    private int concurrencyLimit;
    private int consecutiveFailures;
    private int consecutiveEjections;
    private long firstProbeAt = Long.MIN_VALUE;
    private boolean ejected;
    private boolean full;
    private long fullUntil = Long.MIN_VALUE;
    private int consecutiveRefusals;
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

    /** Returns the maximum ratio of elapsed to expected time of overdue tasks, 1 if no task is overdue. */
    double overdueRatio() {
        return overdueRatio;
    }

    /**
     * Records that a task is overdue.
     *
     * @param isFirstTime whether the task is newly overdue and has to be counted
     * @param ratio the ratio of its elapsed time to its expected time
     */
    void recordOverdueTask(boolean isFirstTime, double ratio) {
        overdueTasks += isFirstTime ? 1 : 0;
        overdueRatio = Math.max(overdueRatio, ratio);
    }

    /** Records that an overdue task finished; its measured service time is used from then on. */
    void overdueTaskFinished() {
        overdueTasks--;
        if (overdueTasks == 0) {
            overdueRatio = 1;
        }
    }

    /**
     * Returns the mean time that a placement spends outside the upstream: on links and in the sidecar's queue, in
     * seconds.
     */
    double overheadSeconds() {
        return overheadSeconds;
    }

    void observeOverhead(double seconds) {
        overheadSeconds += OVERHEAD_SMOOTHING * (Math.max(0, seconds) - overheadSeconds);
    }

    void recordSuccess() {
        completions++;
        consecutiveRefusals = 0;
        consecutiveFailures = 0;
        lastFailedSubmission = null;
        if (onProbation) {
            onProbation = false;
            consecutiveEjections = 0;
            concurrencyLimit = 1;
        }
        concurrencyLimit = Math.min(upstream.slots(), concurrencyLimit + 1);
    }

    /**
     * Records a failure and returns whether it counts. It does not if the last counted failure was of the same
     * submission and no task has completed since, so that a single submission cannot get the back end ejected.
     */
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

    /** Ends the probation, unless the back end is ejected; for failures that this back end does not cause. */
    void endProbation() {
        onProbation = ejected;
    }

    /** Ejects the back end: it gets no tasks for a time that doubles with each ejection, then one task at a time. */
    void eject(long now, SchedulerPolicy.HealthPolicy policy) {
        long firstLength = policy.firstEjection().toNanos();
        long length = Math.min(policy.maximumEjection().toNanos(), firstLength << Math.min(consecutiveEjections, 20));
        consecutiveEjections++;
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
        fullUntil = now + (policy.refusalPause().toNanos() << Math.min(consecutiveRefusals, MAXIMUM_PAUSE_DOUBLINGS));
        consecutiveRefusals++;
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
