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

/**
 * State of one submission in an entry, from its arrival until it is answered and no attempt is outstanding.
 *
 * <p>A claim is the durable record that makes one entry (a process that accepts submissions) the owner of a submission;
 * its fencing token, called fence, is higher for each later owner. A waiter is a client request that waits for the
 * answer. Confined to the thread of the {@link EntryMachine}.
 */
final class SubmissionProgress {
    /** Phase of a submission in this entry. */
    enum Phase {
        /** This entry has requested the claim. */
        CLAIMING,
        /** Another entry owns the submission, which was relayed to it. */
        RELAYED,
        /**
         * The owner is lost; this entry replaces the claim and collects the states of the tasks from sidecar processes.
         */
        ADOPTING,
        /** This entry runs the tasks. */
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
    /** The fencing token; 0 without a claim. */
    private long fence;

    private Instant claimedAt;
    private int outstandingAttempts;
    private int completedTasks;

    /** True if a task is known to have started. */
    private boolean started;

    /** True if a task may have started without this entry knowing its outcome. */
    private boolean possiblyStarted;

    /** True if the granted claim proves that no earlier request of the client started a task. */
    private boolean noEarlierStartProven;

    private boolean adoptedByOther;
    private long claimRequest;
    private ClaimResult.HeldByOther claimOfOtherEntry;

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

    TaskProgress findTask(String task) {
        return tasks.get(task);
    }

    TaskKey taskKey(TaskProgress task) {
        return new TaskKey(id(), task.spec().id());
    }

    boolean isAnswered() {
        return phase == Phase.ANSWERED;
    }

    boolean hasOutstandingAttempts() {
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

    /** Records the proof, by the granted claim, that no earlier request of the client started a task. */
    void recordNoEarlierStart() {
        possiblyStarted = false;
        noEarlierStartProven = true;
    }

    /** Returns the claim that another entry holds, as last read from the store. */
    ClaimResult.HeldByOther claimOfOtherEntry() {
        return claimOfOtherEntry;
    }

    /** Returns whether another entry adopted the submission from this one. */
    boolean isAdoptedByOther() {
        return adoptedByOther;
    }

    void markRelayed(ClaimResult.HeldByOther holder) {
        phase = Phase.RELAYED;
        claimOfOtherEntry = holder;
    }

    void markAdopting() {
        phase = Phase.ADOPTING;
    }

    /** Returns to the claiming phase after another entry adopted the submission; requires no outstanding attempt. */
    void returnToClaiming() {
        phase = Phase.CLAIMING;
        adoptedByOther = true;
        possiblyStarted = true;
        tasks.clear();
        completedTasks = 0;
    }

    /**
     * Enters the running phase.
     *
     * @param claimFence the fencing token of the claim, 0 without a claim
     * @param highestEarlierAttempt the highest attempt number used earlier under the claim
     * @param claimed the time at which the first owner claimed it
     * @param now the current time
     */
    void markRunning(long claimFence, int highestEarlierAttempt, Instant claimed, Instant now) {
        phase = Phase.RUNNING;
        fence = claimFence;
        claimedAt = claimed;
        for (TaskSpec spec : submission.tasks()) {
            tasks.put(spec.id(), new TaskProgress(spec, highestEarlierAttempt, now));
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
     * @return {@link Execution#RAN} if a task started, {@link Execution#MAY_HAVE_RUN} if one may have started,
     *     {@link Execution#ATTEMPT_NOT_RUN} if this request started none, but the claim was not read and an earlier
     *     request may have started one, {@link Execution#NOT_RUN} if none started
     */
    Execution execution() {
        if (started) {
            return Execution.RAN;
        }
        if (outstandingAttempts > 0 || possiblyStarted) {
            return Execution.MAY_HAVE_RUN;
        }
        return submission.needsClaim() && !noEarlierStartProven ? Execution.ATTEMPT_NOT_RUN : Execution.NOT_RUN;
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
