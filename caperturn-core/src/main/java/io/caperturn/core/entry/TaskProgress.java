package io.caperturn.core.entry;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.TaskSpec;
import java.time.Instant;

/** State of one task within its submission; confined to the thread of the {@link EntryMachine}. */
final class TaskProgress {
    /** Where a task stands. */
    enum Stage {
        /** Not placed anywhere. */
        WAITING,
        /** Dispatched; a report is expected. */
        PLACED,
        /** Dispatched to a sidecar whose link was lost. */
        DOUBTFUL,
        /** Completed with a result. */
        COMPLETED,
        /** Ended without a result. */
        FAILED
    }

    private final TaskSpec spec;
    private Stage stage = Stage.WAITING;
    private int attempts;
    private AttemptId current;
    private ProcessId sidecar;
    private Instant since;
    private String result;
    private boolean adopted;

    TaskProgress(TaskSpec spec, int attemptsBefore, Instant now) {
        this.spec = spec;
        this.attempts = attemptsBefore;
        this.since = now;
    }

    TaskSpec spec() {
        return spec;
    }

    Stage stage() {
        return stage;
    }

    int attempts() {
        return attempts;
    }

    AttemptId current() {
        return current;
    }

    ProcessId sidecar() {
        return sidecar;
    }

    /** Returns when the task entered its present stage. */
    Instant since() {
        return since;
    }

    String result() {
        return result;
    }

    boolean isOutstanding() {
        return stage == Stage.PLACED || stage == Stage.DOUBTFUL;
    }

    boolean isOutstanding(AttemptId attempt, ProcessId reporter) {
        return isOutstanding() && current.equals(attempt) && sidecar.equals(reporter);
    }

    /** Tells whether an earlier owner placed the current attempt, so that no placement here stands for it. */
    boolean isAdopted() {
        return adopted;
    }

    void adopted(AttemptId attempt, ProcessId target, Instant now) {
        placed(attempt, target, now);
        adopted = true;
    }

    void placed(AttemptId attempt, ProcessId target, Instant now) {
        adopted = false;
        attempts = Math.max(attempts, attempt.attempt());
        current = attempt;
        sidecar = target;
        enter(Stage.PLACED, now);
    }

    void doubted(Instant now) {
        enter(Stage.DOUBTFUL, now);
    }

    void confirmed(Instant now) {
        enter(Stage.PLACED, now);
    }

    void waits(Instant now) {
        enter(Stage.WAITING, now);
    }

    void completed(String value, Instant now) {
        result = value;
        enter(Stage.COMPLETED, now);
    }

    void failed(Instant now) {
        enter(Stage.FAILED, now);
    }

    private void enter(Stage next, Instant now) {
        stage = next;
        since = now;
    }
}
