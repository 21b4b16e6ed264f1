package io.caperturn.jobs.upstream;

import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;

/**
 * Run of a task, as known to the sidecar (process that starts runs on an upstream). The owner of a run is the entry
 * (process that owns jobs) that dispatched it last.
 */
final class LocalRun {
    /**
     * Divisor of a run's estimated duration; the quotient is the time without progress after which the run counts as
     * stalled. Progress is listed in percent; a run that is this many times slower than expected still advances by more
     * than one percent in that time.
     */
    private static final long STALL_DIVISOR = 6;

    private final RunIdentity identity;
    /** Incarnation of the entry that dispatched the run last; empty if it is lost or unknown. */
    private String owner = "";

    /** Name of its job's queue; empty if unknown. */
    private String queue = "";

    /** Whether the run has to be the only one on the upstream. */
    private boolean exclusive;

    private String payload = "";
    private Resources requiredResources = Resources.NONE;
    /** Estimated work, in thousandths of a core times milliseconds. */
    private long estimatedWork;
    /** Latest time at which the run should start, in milliseconds of the loop's clock. */
    private long latestStartAt;

    /** Urgency of its job's queue; 0 is the most urgent. */
    private int urgency;

    private Phase phase = Phase.QUEUED;
    private RunOutcome outcome = RunOutcome.QUEUED;
    /** Cause of an outcome other than success; empty if unknown. */
    private String reason = "";
    /** Whether the known incarnation of the upstream has confirmed that the run started. */
    private boolean startConfirmed;
    /** When its start was ordered, in milliseconds of the loop's clock; 0 if this process did not order it. */
    private long startedAt;

    /** When the run finished, in milliseconds of the loop's clock. */
    private long finishedAt;
    /** Number of its completion at the upstream; 0 if the upstream reported none. */
    private long completionNumber;
    /** When the run was created, its owner last set, or the run finished, in milliseconds of the loop's clock. */
    private long ownerChangedOrFinishedAt;

    /** Claim of the owner on the run. */
    private RunClaim claim = new RunClaim.Held();

    /** Whether the run is to be stopped as soon as its start is confirmed. */
    private boolean stopRequested;

    /** Progress in percent; -1 until a listing has reported it. */
    private long progressPercent = -1;

    /** When the reported progress last changed, in milliseconds of the loop's clock. */
    private long progressChangedAt;

    private boolean stallReported;

    /** Reason of its lapse if the upstream crashed while the run was active; empty otherwise. */
    private String crashReason = "";

    /**
     * Whether the job of the run is stored and so outlives its owner; assumed for a run that was discovered at the
     * upstream.
     */
    private boolean durable = true;

    /** Whether the owner needs no report of the start. */
    private boolean withoutStartReport;

    /** Number of questions to entries about the end of the run. */
    private int endQuestions;

    /** When the next one is due, in milliseconds of the loop's clock. */
    private long nextEndQuestionAt;

    LocalRun(RunIdentity identity, long createdAt) {
        this.identity = identity;
        this.ownerChangedOrFinishedAt = createdAt;
    }

    /** Phase of a run between its dispatch and its end. */
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
        ownerChangedOrFinishedAt = now;
    }

    /** Makes the entry that dispatched the run over its present link its owner. */
    void claim(String incarnation, long now) {
        setOwner(incarnation, now);
        claim = new RunClaim.Held();
    }

    /** Returns the claim of the owner on the run, which decides until when the run may continue. */
    RunClaim claim() {
        return claim;
    }

    void setClaim(RunClaim newClaim) {
        claim = newClaim;
    }

    void setDetails(
            String newPayload,
            Resources newRequiredResources,
            long estimatedMilliseconds,
            long newLatestStartAt,
            int newUrgency) {
        payload = newPayload;
        requiredResources = newRequiredResources;
        estimatedWork = newRequiredResources.processorMillis() * estimatedMilliseconds;
        latestStartAt = newLatestStartAt;
        urgency = newUrgency;
    }

    void setExclusive(boolean newExclusive) {
        exclusive = newExclusive;
    }

    /** Returns whether the run has to be the only one on the upstream. */
    boolean isExclusive() {
        return exclusive;
    }

    void setQueue(String newQueue) {
        queue = newQueue;
    }

    /** Returns the name of the queue of the run's job; empty if unknown. */
    String queue() {
        return queue;
    }

    void setDurable(boolean newDurable) {
        durable = newDurable;
    }

    void setWithoutStartReport(boolean notNeeded) {
        withoutStartReport = notNeeded;
    }

    /** Returns whether the owner needs no report of the start. */
    boolean isWithoutStartReport() {
        return withoutStartReport;
    }

    /** Returns whether the job of the run is stored and so outlives its owner. */
    boolean isDurable() {
        return durable;
    }

    String payload() {
        return payload;
    }

    Resources requiredResources() {
        return requiredResources;
    }

    long estimatedWork() {
        return estimatedWork;
    }

    long latestStartAt() {
        return latestStartAt;
    }

    int urgency() {
        return urgency;
    }

    Phase phase() {
        return phase;
    }

    boolean isInPhase(Phase expectedPhase) {
        return phase == expectedPhase;
    }

    void enterPhase(Phase next) {
        phase = next;
        outcome = next == Phase.QUEUED ? RunOutcome.QUEUED : RunOutcome.RUNNING;
        startConfirmed = next == Phase.RUNNING || startConfirmed && next == Phase.DOUBTFUL;
    }

    void markStarting(long now) {
        enterPhase(Phase.STARTING);
        startedAt = now;
    }

    long startedAt() {
        return startedAt;
    }

    void finish(RunOutcome finalOutcome, String finalReason, long finalCompletionNumber, long now) {
        phase = Phase.ENDED;
        outcome = finalOutcome;
        reason = finalReason;
        completionNumber = finalCompletionNumber;
        finishedAt = now;
        ownerChangedOrFinishedAt = now;
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

    long ownerChangedOrFinishedAt() {
        return ownerChangedOrFinishedAt;
    }

    /** Records the progress in percent; returns true when the run is first found to have stalled. */
    boolean updateProgress(long latestPercent, long now, long minimumStallMilliseconds) {
        if (latestPercent != progressPercent) {
            progressPercent = latestPercent;
            progressChangedAt = now;
        }
        boolean stalled = !stallReported
                && startedAt > 0
                && now - progressChangedAt
                        > Math.max(minimumStallMilliseconds, estimatedMilliseconds() / STALL_DIVISOR);
        stallReported |= stalled;
        return stalled;
    }

    /** Returns the duration that the owner expects on this upstream, in milliseconds. */
    long estimatedMilliseconds() {
        return requiredResources.processorMillis() == 0 ? 0 : estimatedWork / requiredResources.processorMillis();
    }

    boolean isActive() {
        return phase == Phase.STARTING || phase == Phase.DOUBTFUL || phase == Phase.RUNNING;
    }

    /** Records that another incarnation of the upstream answers, whose next listing shows whether the run is active. */
    void doubtAfterRestart() {
        enterPhase(Phase.DOUBTFUL);
        startConfirmed = false;
    }

    /** Records that the upstream has listed the run. */
    void confirmStart() {
        startConfirmed = true;
    }

    /**
     * Returns whether the known incarnation of the upstream has confirmed that the run started, which an order alone
     * does not show.
     */
    boolean isStartConfirmed() {
        return startConfirmed;
    }

    /** Returns when the run finished, in milliseconds of the loop's clock; 0 if it has not. */
    long finishedAt() {
        return finishedAt;
    }

    /** Returns how often entries were asked about the end of the run. */
    int endQuestions() {
        return endQuestions;
    }

    /** Returns when the next question about the end of the run is due, in milliseconds of the loop's clock. */
    long nextEndQuestionAt() {
        return nextEndQuestionAt;
    }

    /** Records a question about the end of the run, and when the next one is due if it is not answered. */
    void recordEndQuestion(long nextAt) {
        endQuestions++;
        nextEndQuestionAt = nextAt;
    }

    void setCrashReason(String newCrashReason) {
        crashReason = newCrashReason;
    }

    /** Returns the reason of a lapse: that the upstream crashed while the run was active, or else the given cause. */
    String lapseReason(String cause) {
        return crashReason.isEmpty() ? cause : crashReason;
    }

    /** Returns whether the upstream crashed while the run was active. */
    boolean hasUpstreamCrashed() {
        return !crashReason.isEmpty();
    }

    void requestStop() {
        stopRequested = true;
    }

    boolean isStopRequested() {
        return stopRequested;
    }
}
