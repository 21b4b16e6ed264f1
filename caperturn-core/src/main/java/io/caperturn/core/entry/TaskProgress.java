package io.caperturn.core.entry;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.TaskSpec;
import java.time.Instant;

/**
 * State of one task of a submission and of the last attempt to run it.
 *
 * <p>An attempt is dispatched to a sidecar, the process that starts tasks at an upstream. Confined to the thread of the
 * {@link EntryMachine}.
 */
final class TaskProgress {
    /** Stage of a task. */
    enum Stage {
        /** Waiting in the scheduler; not placed at any sidecar. */
        WAITING,
        /** Dispatched to a sidecar, whose report is awaited. */
        PLACED,
        /** Dispatched to a sidecar whose connection was lost, so that the state of the attempt is unknown. */
        IN_DOUBT,
        /** Completed with a result. */
        COMPLETED,
        /** Finished without a result. */
        FAILED
    }

    private final TaskSpec spec;
    private Stage stage = Stage.WAITING;
    private int attemptCount;
    private AttemptId currentAttempt;
    private ProcessId sidecar;
    private Instant stageConfirmedAt;
    private String result;
    private boolean dispatchedByOtherEntry;

    /** Creates a waiting task; its attempts are numbered on from the highest earlier attempt, 0 for none. */
    TaskProgress(TaskSpec spec, int highestEarlierAttempt, Instant now) {
        this.spec = spec;
        this.attemptCount = highestEarlierAttempt;
        this.stageConfirmedAt = now;
    }

    TaskSpec spec() {
        return spec;
    }

    Stage stage() {
        return stage;
    }

    int attemptCount() {
        return attemptCount;
    }

    AttemptId currentAttempt() {
        return currentAttempt;
    }

    ProcessId sidecar() {
        return sidecar;
    }

    /**
     * Returns the time at which the task entered its stage or, if later, at which a sidecar last confirmed the stage.
     */
    Instant stageConfirmedAt() {
        return stageConfirmedAt;
    }

    String result() {
        return result;
    }

    /** Returns whether an attempt was dispatched whose outcome is not known. */
    boolean isOutstanding() {
        return stage == Stage.PLACED || stage == Stage.IN_DOUBT;
    }

    /** Returns whether an attempt at a sidecar is the last one of this task, and its outcome is not known. */
    boolean isOutstanding(AttemptId attempt, ProcessId atSidecar) {
        return isOutstanding() && currentAttempt.equals(attempt) && sidecar.equals(atSidecar);
    }

    /**
     * Returns whether another entry process dispatched the last attempt, so that this entry's scheduler does not know
     * of it.
     */
    boolean isDispatchedByOtherEntry() {
        return dispatchedByOtherEntry;
    }

    void markDispatchedByOtherEntry(AttemptId attempt, ProcessId target, Instant now) {
        markPlaced(attempt, target, now);
        dispatchedByOtherEntry = true;
    }

    void markPlaced(AttemptId attempt, ProcessId target, Instant now) {
        dispatchedByOtherEntry = false;
        attemptCount = Math.max(attemptCount, attempt.attempt());
        currentAttempt = attempt;
        sidecar = target;
        enterStage(Stage.PLACED, now);
    }

    void markInDoubt(Instant now) {
        enterStage(Stage.IN_DOUBT, now);
    }

    /** Records that the sidecar reported the attempt as queued or running. */
    void markConfirmed(Instant now) {
        enterStage(Stage.PLACED, now);
    }

    void markWaiting(Instant now) {
        enterStage(Stage.WAITING, now);
    }

    void markCompleted(String value, Instant now) {
        result = value;
        enterStage(Stage.COMPLETED, now);
    }

    void markFailed(Instant now) {
        enterStage(Stage.FAILED, now);
    }

    private void enterStage(Stage next, Instant now) {
        stage = next;
        stageConfirmedAt = now;
    }
}
