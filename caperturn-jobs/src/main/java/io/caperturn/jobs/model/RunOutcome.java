package io.caperturn.jobs.model;

/** State or outcome of a run of a task. */
public enum RunOutcome {
    /** The run is queued at the sidecar. */
    QUEUED,
    /** The run is active, or its start has been ordered. */
    RUNNING,
    /** The run succeeded. */
    DONE,
    /** The run failed, through a fault of its own or of the upstream. */
    FAILED,
    /** The run was stopped by an order. */
    STOPPED,
    /** The lease of the run expired, or its upstream was lost. */
    LAPSED,
    /** The run was refused and never started. */
    REFUSED;

    private static final RunOutcome[] VALUES = values();

    /**
     * Returns whether the run has finished or was refused.
     *
     * @return true for all values except {@link #QUEUED} and {@link #RUNNING}
     */
    public boolean isFinished() {
        return this != QUEUED && this != RUNNING;
    }

    /**
     * Returns whether the outcome must be stored before the completion may be discarded. Only successes and failures
     * are recorded in the progress of a job.
     *
     * @return true for {@link #DONE} and {@link #FAILED}
     */
    public boolean isRecorded() {
        return this == DONE || this == FAILED;
    }

    /**
     * Returns the outcome with an ordinal.
     *
     * @param ordinal the ordinal
     * @return the outcome
     * @throws IllegalArgumentException if no outcome has that ordinal
     */
    public static RunOutcome of(int ordinal) {
        if (ordinal < 0 || ordinal >= VALUES.length) {
            throw new IllegalArgumentException("no run outcome with ordinal " + ordinal);
        }
        return VALUES[ordinal];
    }
}
