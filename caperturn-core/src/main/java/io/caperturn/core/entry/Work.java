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
final class Work {
    /** Where a submission stands. */
    enum Phase {
        /** Its claim is being written. */
        CLAIMING,
        /** Another entry owns it and was asked. */
        RELAYED,
        /** Its owner is gone and its claim and the ledgers' lines are being taken over. */
        ADOPTING,
        /** Its tasks wait or run. */
        RUNNING,
        /** It has its answer; attempts may still be outstanding. */
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
    private int outstanding;
    private int completed;
    private boolean startKnown;
    private boolean startPossible;
    private boolean earlierStartExcluded;
    private boolean superseded;
    private long claimRequest;
    private ClaimResult.HeldByOther held;

    Work(Submission submission, Urgency urgency, Duration taskTimeout, Instant now) {
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
        return outstanding > 0;
    }

    boolean isComplete() {
        return completed == tasks.size();
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

    List<Long> takeWaiters() {
        List<Long> taken = List.copyOf(waiters);
        waiters.clear();
        return taken;
    }

    /** Returns the number of the request by which this submission was last claimed. */
    long claimRequest() {
        return claimRequest;
    }

    void claiming(long request) {
        claimRequest = request;
    }

    /** Notes that a fresh claim proved that nothing started before. */
    void startIsExcluded() {
        startPossible = false;
        earlierStartExcluded = true;
    }

    /** Returns the claim that another entry held when last asked. */
    ClaimResult.HeldByOther held() {
        return held;
    }

    /** Tells whether another entry adopted the submission from this one. */
    boolean isSuperseded() {
        return superseded;
    }

    void relayed(ClaimResult.HeldByOther holder) {
        phase = Phase.RELAYED;
        held = holder;
    }

    void adopting() {
        phase = Phase.ADOPTING;
    }

    /** Goes back to claiming after another entry adopted the submission; nothing here is outstanding any more. */
    void superseded() {
        phase = Phase.CLAIMING;
        superseded = true;
        startPossible = true;
        tasks.clear();
        completed = 0;
    }

    void run(long claimFence, int attemptsBefore, Instant claimed, Instant now) {
        phase = Phase.RUNNING;
        fence = claimFence;
        claimedAt = claimed;
        for (TaskSpec spec : submission.tasks()) {
            tasks.put(spec.id(), new TaskProgress(spec, attemptsBefore, now));
        }
    }

    void taskPlaced() {
        outstanding++;
    }

    void taskEnded() {
        outstanding--;
    }

    void taskCompleted() {
        completed++;
        startKnown = true;
    }

    void startIsKnown() {
        startKnown = true;
    }

    void startIsPossible() {
        startPossible = true;
    }

    void answered() {
        phase = Phase.ANSWERED;
    }

    /**
     * Tells what is known about whether any task started.
     *
     * @return {@link Execution#RAN} if a start is known, {@link Execution#NOT_RUN} if none is possible,
     *     {@link Execution#ATTEMPT_NOT_RUN} if none is possible by this attempt and the claim was not looked up
     */
    Execution execution() {
        if (startKnown) {
            return Execution.RAN;
        }
        if (outstanding > 0 || startPossible) {
            return Execution.MAY_HAVE_RUN;
        }
        return submission.needsClaim() && !earlierStartExcluded ? Execution.ATTEMPT_NOT_RUN : Execution.NOT_RUN;
    }

    int highestAttempt() {
        return tasks.values().stream().mapToInt(TaskProgress::attempts).max().orElse(0);
    }

    Answer.Complete assemble() {
        return new Answer.Complete(tasks.values().stream()
                .map(task -> new TaskResult(task.spec().id(), task.result()))
                .toList());
    }
}
