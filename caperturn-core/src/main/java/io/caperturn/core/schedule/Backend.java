package io.caperturn.core.schedule;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.UpstreamDescription;
import java.util.ArrayList;
import java.util.List;

/**
 * Back end of a scheduler: a sidecar process and the upstream beside it, which runs tasks in its slots.
 *
 * <p>The number of outstanding tasks is bounded by the window (the number that the sidecar accepts), by the slots of
 * the upstream and by a concurrency limit. A success raises the concurrency limit by one. A failure halves it, unless
 * the previous one was of the same submission. After failures, a back end is on probation (one task at a time) or
 * ejected (no tasks); a success that ends probation sets the limit to at most two. An overdue task runs much longer
 * than expected. Times of type long are in nanoseconds since the epoch.
 */
final class Backend {
    private static final int MAXIMUM_REFUSAL_PAUSE_DOUBLINGS = 6;

    /** Weight of the newest observation in the mean of {@link #overheadSeconds()}. */
    private static final double OVERHEAD_SMOOTHING = 0.1;

    private final ProcessId sidecar;
    /** Position in the order in which back ends became known; breaks ties. */
    private final int sequenceNumber;

    private final List<KindPool.PoolMember> poolMembers = new ArrayList<>();
    private final ServiceTimeModel.OverallSpeed overallSpeed;
    private UpstreamDescription upstream;
    private int overdueTasks;
    private double overdueRatio = 1;
    private boolean linked;
    private boolean serving;
    private int window;
    private int outstandingTasks;
    private double overheadSeconds;
    private int concurrencyLimit;
    private int consecutiveFailures;
    private int consecutiveEjections;
    private long firstProbeAt = Long.MIN_VALUE;
    private boolean ejected;
    private boolean pausedAfterRefusal;
    private long refusalPauseUntil = Long.MIN_VALUE;
    private int consecutiveRefusals;
    private boolean onProbation;
    private SubmissionId lastFailedSubmission;
    private double decayedCompletions;
    private double decayedFailures;

    Backend(
            ProcessId sidecar,
            int sequenceNumber,
            UpstreamDescription upstream,
            int concurrencyLimit,
            ServiceTimeModel.OverallSpeed overallSpeed) {
        this.overallSpeed = overallSpeed;
        this.sidecar = sidecar;
        this.sequenceNumber = sequenceNumber;
        this.upstream = upstream;
        this.concurrencyLimit = concurrencyLimit;
    }

    ProcessId sidecar() {
        return sidecar;
    }

    int sequenceNumber() {
        return sequenceNumber;
    }

    List<KindPool.PoolMember> poolMembers() {
        return poolMembers;
    }

    UpstreamDescription upstream() {
        return upstream;
    }

    /** Returns whether the link to the sidecar is open. */
    boolean isLinked() {
        return linked;
    }

    /** Returns whether the upstream accepts new tasks. */
    boolean isServing() {
        return serving;
    }

    int outstandingTasks() {
        return outstandingTasks;
    }

    boolean isOnProbation() {
        return onProbation;
    }

    boolean isEjected() {
        return ejected;
    }

    /** Returns from when on a back end on probation gets tasks. */
    long firstProbeAt() {
        return firstProbeAt;
    }

    /** Returns the maximum number of tasks that may be outstanding at this back end now. */
    int capacity() {
        if (!serving || ejected || pausedAfterRefusal) {
            return 0;
        }
        int usable = Math.min(window, Math.min(upstream.slots(), concurrencyLimit));
        return onProbation ? Math.min(1, usable) : usable;
    }

    boolean hasFreeSlot() {
        return outstandingTasks < capacity();
    }

    /** Returns the fraction of the capacity that is in use after one more placement. */
    double load() {
        return (outstandingTasks + 1.0) / Math.max(1, capacity());
    }

    void updateUpstream(UpstreamDescription newUpstream, boolean newServing, int newWindow) {
        // A concurrency limit that allowed all slots allows all slots of the changed upstream too.
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
        outstandingTasks++;
    }

    void taskFinished() {
        outstandingTasks--;
    }

    ServiceTimeModel.OverallSpeed overallSpeed() {
        return overallSpeed;
    }

    /** Returns the maximum ratio of elapsed to expected time among the overdue tasks, 1 if no task is overdue. */
    double overdueRatio() {
        return overdueRatio;
    }

    /**
     * Records that a task is overdue.
     *
     * @param isFirstTime true if the task was not recorded as overdue before
     * @param ratio the ratio of the task's elapsed time to the expected time
     */
    void recordOverdueTask(boolean isFirstTime, double ratio) {
        overdueTasks += isFirstTime ? 1 : 0;
        overdueRatio = Math.max(overdueRatio, ratio);
    }

    /** Records that an overdue task finished; the measured service time then counts instead of the ratio. */
    void overdueTaskFinished() {
        overdueTasks--;
        if (overdueTasks == 0) {
            overdueRatio = 1;
        }
    }

    /**
     * Returns the mean time in seconds that a placed task spends outside the upstream: on links and in the sidecar's
     * queue.
     */
    double overheadSeconds() {
        return overheadSeconds;
    }

    void observeOverhead(double seconds) {
        overheadSeconds += OVERHEAD_SMOOTHING * (Math.max(0, seconds) - overheadSeconds);
    }

    void recordSuccess() {
        decayedCompletions++;
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
     * Records a failure and returns whether it counts. Consecutive failures of one submission count only once, so that
     * a single submission cannot get the back end ejected.
     */
    boolean recordFailure(SubmissionId submission) {
        if (submission.equals(lastFailedSubmission)) {
            return false;
        }
        lastFailedSubmission = submission;
        decayedFailures++;
        consecutiveFailures++;
        concurrencyLimit = Math.max(1, concurrencyLimit / 2);
        return true;
    }

    SchedulerView.BackendView view() {
        SchedulerView.BackendStatus status = SchedulerView.BackendStatus.USED;
        if (isEjected()) {
            status = SchedulerView.BackendStatus.EJECTED;
        } else if (isOnProbation()) {
            status = SchedulerView.BackendStatus.ON_PROBATION;
        } else if (isPausedAfterRefusal()) {
            status = SchedulerView.BackendStatus.FULL;
        }
        return new SchedulerView.BackendView(sidecar, status, window, outstandingTasks(), consecutiveFailures());
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Starts probation: from {@code probeAt} on, the back end gets one task (a probe) at a time until one succeeds. */
    void startProbation(long probeAt) {
        onProbation = true;
        firstProbeAt = probeAt;
    }

    /** Ends probation, unless the back end is ejected; called if a failure is not attributed to the back end. */
    void endProbation() {
        onProbation = ejected;
    }

    /** Ejects the back end for a time that doubles with each consecutive ejection; probation follows. */
    void eject(long now, SchedulerPolicy.HealthPolicy policy) {
        // The shift is bounded so that the duration does not overflow.
        long firstEjectionNanoseconds = policy.firstEjection().toNanos();
        long ejectionNanoseconds = Math.min(
                policy.maximumEjection().toNanos(), firstEjectionNanoseconds << Math.min(consecutiveEjections, 20));
        consecutiveEjections++;
        onProbation = true;
        ejected = true;
        firstProbeAt = now + ejectionNanoseconds;
    }

    boolean isPausedAfterRefusal() {
        return pausedAfterRefusal;
    }

    long refusalPauseUntil() {
        return refusalPauseUntil;
    }

    /**
     * Records that the sidecar refused a task: the back end gets no tasks for a time that doubles with each consecutive
     * refusal.
     */
    void recordRefusal(long now, SchedulerPolicy.HealthPolicy policy) {
        pausedAfterRefusal = true;
        refusalPauseUntil = now
                + (policy.refusalPause().toNanos() << Math.min(consecutiveRefusals, MAXIMUM_REFUSAL_PAUSE_DOUBLINGS));
        consecutiveRefusals++;
    }

    /** Ends the pause that followed a refusal. */
    void endRefusalPause() {
        pausedAfterRefusal = false;
    }

    /** Ends the ejection; the back end stays on probation. */
    void endEjection() {
        ejected = false;
    }

    /** Halves the numbers of completions and failures, so that later outcomes have more weight. */
    void halveOutcomeCounts() {
        decayedCompletions /= 2;
        decayedFailures /= 2;
    }

    /** Returns the number of completed tasks, halved by {@link #halveOutcomeCounts}. */
    double decayedCompletions() {
        return decayedCompletions;
    }

    /** Returns the number of failures that count, halved by {@link #halveOutcomeCounts}. */
    double decayedFailures() {
        return decayedFailures;
    }
}
