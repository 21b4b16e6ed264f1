package io.caperturn.core.entry;

import io.caperturn.core.model.Answer;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskKey;
import io.caperturn.core.model.TaskResult;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** State of one submission in an entry; confined to the thread of the {@link EntryMachine}. */
final class SubmissionProgress {
    /** Phase of a submission in this entry. */
    enum Phase {
        /** This entry requests the claim (the durable record of the submission's owner). */
        CLAIMING,
        /** Another entry owns the submission, which was relayed there. */
        RELAYED,
        /** The owner is lost; this entry takes over the claim and collects the states of the tasks from sidecars. */
        ADOPTING,
        /** The tasks wait or run under this entry. */
        RUNNING,
        /** The submission was answered; attempts may still be outstanding. */
        ANSWERED
    }

    private final Submission submission;
    private final Urgency urgency;
    private final Duration taskTimeout;
    private final Instant arrivedAt;
    private final List<Long> waiters = new ArrayList<>();
    private final Map<String, TaskProgress> tasks = new LinkedHashMap<>();
    private Phase phase = Phase.CLAIMING;
    private long fence;
    private Instant claimedAt;
    private int outstandingAttempts;
    private int completedTasks;
    private boolean started;

    /** True if a task may have started without this entry having learnt its outcome. */
    private boolean possiblyStarted;

    private boolean earlierStartExcluded;
    private boolean superseded;
    private long claimRequest;
    private ClaimResult.HeldByOther heldClaim;

    SubmissionProgress(Submission submission, Urgency urgency, Duration taskTimeout, Instant now) {
        this.submission = submission;
        this.urgency = urgency;
        this.taskTimeout = taskTimeout;
        this.arrivedAt = now;
    }

    Submission submission() {
        return submission;
    }

    SubmissionId id() {
        return submission.id();
    }

    Urgency urgency() {
        return urgency;
    }

    Duration taskTimeout() {
        return taskTimeout;
    }

    Instant arrivedAt() {
        return arrivedAt;
    }

    Phase phase() {
        return phase;
    }

    long fence() {
        return fence;
    }

    Instant claimedAt() {
        return claimedAt;
    }

    Collection<TaskProgress> tasks() {
        return tasks.values();
    }

    TaskProgress task(String task) {
        return tasks.get(task);
    }

    TaskKey key(TaskProgress task) {
        return new TaskKey(id(), task.spec().id());
    }

    boolean isAnswered() {
        return phase == Phase.ANSWERED;
    }

    boolean hasOutstanding() {
        return outstandingAttempts > 0;
    }

    boolean isComplete() {
        return completedTasks == tasks.size();
    }

    boolean isPastDeadline(Instant now) {
        return !now.isBefore(submission.deadline());
    }

    boolean hasWaiters() {
        return !waiters.isEmpty();
    }

    void addWaiter(long waiter) {
        waiters.add(waiter);
    }

    void removeWaiter(long waiter) {
        waiters.remove(Long.valueOf(waiter));
    }

    List<Long> removeAllWaiters() {
        List<Long> removed = List.copyOf(waiters);
        waiters.clear();
        return removed;
    }

    /** Returns the number of the request that wrote the claim or, until that is known, of the last claim request. */
    long claimRequest() {
        return claimRequest;
    }

    void setClaimRequest(long request) {
        claimRequest = request;
    }

    /** Records that no task started before, which the granted claim proves. */
    void excludeEarlierStart() {
        possiblyStarted = false;
        earlierStartExcluded = true;
    }

    /** Returns the claim of another entry, as last read from the store. */
    ClaimResult.HeldByOther heldClaim() {
        return heldClaim;
    }

    /** Returns whether another entry adopted the submission from this one. */
    boolean isSuperseded() {
        return superseded;
    }

    void markRelayed(ClaimResult.HeldByOther holder) {
        phase = Phase.RELAYED;
        heldClaim = holder;
    }

    void markAdopting() {
        phase = Phase.ADOPTING;
    }

    /** Returns to the claiming phase after another entry adopted the submission; no attempt may be outstanding. */
    void returnToClaiming() {
        phase = Phase.CLAIMING;
        superseded = true;
        possiblyStarted = true;
        tasks.clear();
        completedTasks = 0;
    }

    /**
     * Enters the running phase.
     *
     * @param claimFence the fencing token of the claim, 0 without a claim
     * @param attemptsBefore the highest attempt number used earlier under the token
     * @param claimed the time of the claim
     * @param now the current time
     */
    void markRunning(long claimFence, int attemptsBefore, Instant claimed, Instant now) {
        phase = Phase.RUNNING;
        fence = claimFence;
        claimedAt = claimed;
        for (TaskSpec spec : submission.tasks()) {
            tasks.put(spec.id(), new TaskProgress(spec, attemptsBefore, now));
        }
    }

    void recordPlacement() {
        outstandingAttempts++;
    }

    void recordAttemptFinished() {
        outstandingAttempts--;
    }

    void recordTaskCompleted() {
        completedTasks++;
        started = true;
    }

    void markStarted() {
        started = true;
    }

    void markPossiblyStarted() {
        possiblyStarted = true;
    }

    void markAnswered() {
        phase = Phase.ANSWERED;
    }

    /**
     * Returns what is known about whether any task started.
     *
     * @return {@link Execution#RAN} if a start is known, {@link Execution#NOT_RUN} if none is possible,
     *     {@link Execution#ATTEMPT_NOT_RUN} if this request started none but an earlier one may have, as the claim was
     *     not read, {@link Execution#MAY_HAVE_RUN} otherwise
     */
    Execution execution() {
        if (started) {
            return Execution.RAN;
        }
        if (outstandingAttempts > 0 || possiblyStarted) {
            return Execution.MAY_HAVE_RUN;
        }
        return submission.needsClaim() && !earlierStartExcluded ? Execution.ATTEMPT_NOT_RUN : Execution.NOT_RUN;
    }

    int highestAttempt() {
        return tasks.values().stream()
                .mapToInt(TaskProgress::attemptCount)
                .max()
                .orElse(0);
    }

    Answer.Complete assembleAnswer() {
        return new Answer.Complete(tasks.values().stream()
                .map(task -> new TaskResult(task.spec().id(), task.result()))
                .toList());
    }
}
