package io.caperturn.jobs.upstream;

import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;

/** State of one run at its sidecar. */
final class LocalRun {
    /**
     * Divisor of a run's estimate that gives the time without progress after which it counts as stalled. A run that is
     * this many times slower than expected still advances by one percent within that time.
     */
    private static final long STALL_DIVISOR = 6;

    private final RunIdentity identity;
    /** Incarnation of the entry that dispatched the run last; empty if it is lost or unknown. */
    private String owner = "";

    private String payload = "";
    private Resources need = Resources.NONE;
    /** Estimated work, in thousandths of a core times milliseconds. */
    private long work;
    /** Latest time at which the run should start, in milliseconds of the loop's clock. */
    private long startBy;

    private int urgency;
    private Phase phase = Phase.QUEUED;
    private RunOutcome outcome = RunOutcome.QUEUED;
    private String reason = "";
    /** When its start was ordered, in milliseconds of the loop's clock; 0 if this process did not order it. */
    private long startedAt;

    private long finishedAt;
    /** Number of its completion at the upstream; 0 if the upstream reported none. */
    private long completionNumber;
    /** When its owner last changed or it finished, in milliseconds of the loop's clock. */
    private long changedAt;

    private boolean stopRequested;
    /** Progress in percent; -1 until a listing has reported it. */
    private long percent = -1;

    /** When the reported progress last changed, in milliseconds of the loop's clock. */
    private long progressedAt;

    private boolean stallReported;
    /** Whether its job is stored and so outlives its owner; assumed for a run that was discovered at the upstream. */
    private boolean durable = true;

    LocalRun(RunIdentity identity, long changedAt) {
        this.identity = identity;
        this.changedAt = changedAt;
    }

    /** Phase of a run at its sidecar. */
    enum Phase {
        /** The run waits for resources. */
        QUEUED,
        /** The start was ordered, and the answer is outstanding. */
        STARTING,
        /**
         * The start was not answered, or the upstream has restarted; the next listing shows whether the run is active.
         */
        DOUBTFUL,
        /** The upstream has confirmed the start. */
        RUNNING,
        /** The run has finished or was refused. */
        ENDED
    }

    RunIdentity identity() {
        return identity;
    }

    String owner() {
        return owner;
    }

    void setOwner(String incarnation, long now) {
        owner = incarnation;
        changedAt = now;
    }

    void setDetails(
            String newPayload, Resources newNeed, long estimatedMilliseconds, long latestStart, int newUrgency) {
        payload = newPayload;
        need = newNeed;
        work = newNeed.processorMillis() * estimatedMilliseconds;
        startBy = latestStart;
        urgency = newUrgency;
    }

    void setDurable(boolean newDurable) {
        durable = newDurable;
    }

    /** Returns whether its job is stored and so outlives its owner. */
    boolean isDurable() {
        return durable;
    }

    String payload() {
        return payload;
    }

    Resources need() {
        return need;
    }

    long work() {
        return work;
    }

    long startBy() {
        return startBy;
    }

    int urgency() {
        return urgency;
    }

    Phase phase() {
        return phase;
    }

    boolean isIn(Phase expectedPhase) {
        return phase == expectedPhase;
    }

    void enterPhase(Phase next) {
        phase = next;
        outcome = next == Phase.QUEUED ? RunOutcome.QUEUED : RunOutcome.RUNNING;
    }

    void markStarting(long now) {
        enterPhase(Phase.STARTING);
        startedAt = now;
    }

    long startedAt() {
        return startedAt;
    }

    void finish(RunOutcome finalOutcome, String finalReason, long number, long now) {
        phase = Phase.ENDED;
        outcome = finalOutcome;
        reason = finalReason;
        completionNumber = number;
        finishedAt = now;
        changedAt = now;
    }

    RunOutcome outcome() {
        return outcome;
    }

    String reason() {
        return reason;
    }

    long completionNumber() {
        return completionNumber;
    }

    /** Returns the duration of the finished run in milliseconds; 0 if it is unknown or the run has not finished. */
    long runMilliseconds() {
        return startedAt == 0 || phase != Phase.ENDED ? 0 : finishedAt - startedAt;
    }

    long changedAt() {
        return changedAt;
    }

    /** Records the progress in percent; returns true, only once, if the run has made no progress for too long. */
    boolean updateProgress(long latestPercent, long now, long minimumStallMilliseconds) {
        if (latestPercent != percent) {
            percent = latestPercent;
            progressedAt = now;
        }
        boolean stalled = !stallReported
                && startedAt > 0
                && now - progressedAt > Math.max(minimumStallMilliseconds, estimatedMilliseconds() / STALL_DIVISOR);
        stallReported |= stalled;
        return stalled;
    }

    private long estimatedMilliseconds() {
        return need.processorMillis() == 0 ? 0 : work / need.processorMillis();
    }

    boolean isActive() {
        return phase == Phase.STARTING || phase == Phase.DOUBTFUL || phase == Phase.RUNNING;
    }

    void requestStop() {
        stopRequested = true;
    }

    boolean isStopRequested() {
        return stopRequested;
    }
}
