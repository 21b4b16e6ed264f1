package io.caperturn.core.entry;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.TaskSpec;
import java.time.Instant;

/** State of one task within its submission; confined to the thread of the {@link EntryMachine}. */
final class TaskProgress {
    /** Stage of a task. */
    enum Stage {
        /** Waiting in the scheduler; not placed at any sidecar. */
        WAITING,
        /** Dispatched; a report is expected. */
        PLACED,
        /** Dispatched to a sidecar whose link was lost, so that the state of the attempt is unknown. */
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
    private Instant stageSince;
    private String result;
    private boolean adopted;

    TaskProgress(TaskSpec spec, int attemptsBefore, Instant now) {
        this.spec = spec;
        this.attemptCount = attemptsBefore;
        this.stageSince = now;
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

    /** Returns the time at which the task entered its current stage or, if later, a sidecar confirmed the stage. */
    Instant stageSince() {
        return stageSince;
    }

    String result() {
        return result;
    }

    boolean isOutstanding() {
        return stage == Stage.PLACED || stage == Stage.IN_DOUBT;
    }

    boolean isOutstanding(AttemptId attempt, ProcessId reporter) {
        return isOutstanding() && currentAttempt.equals(attempt) && sidecar.equals(reporter);
    }

    /** Returns whether an earlier owner placed the current attempt, which the scheduler of this entry does not know. */
    boolean isAdopted() {
        return adopted;
    }

    void markAdopted(AttemptId attempt, ProcessId target, Instant now) {
        markPlaced(attempt, target, now);
        adopted = true;
    }

    void markPlaced(AttemptId attempt, ProcessId target, Instant now) {
        adopted = false;
        attemptCount = Math.max(attemptCount, attempt.attempt());
        currentAttempt = attempt;
        sidecar = target;
        enter(Stage.PLACED, now);
    }

    void markInDoubt(Instant now) {
        enter(Stage.IN_DOUBT, now);
    }

    void markConfirmed(Instant now) {
        enter(Stage.PLACED, now);
    }

    void markWaiting(Instant now) {
        enter(Stage.WAITING, now);
    }

    void markCompleted(String value, Instant now) {
        result = value;
        enter(Stage.COMPLETED, now);
    }

    void markFailed(Instant now) {
        enter(Stage.FAILED, now);
    }

    private void enter(Stage next, Instant now) {
        stage = next;
        stageSince = now;
    }
}
