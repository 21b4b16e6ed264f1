package io.caperturn.jobs.model;

/** State or outcome of a run, which is an attempt of a sidecar process to execute a task on the upstream beside it. */
public enum RunOutcome {
    /** The run is queued at the sidecar. */
    QUEUED,
    /** The run is active, or the sidecar has ordered the upstream to start it. */
    RUNNING,
    /** The run succeeded. */
    DONE,
    /** The run failed, through a fault of its own or of the upstream. */
    FAILED,
    /** The run was stopped, or removed from the queue, on request. */
    STOPPED,
    /** The lease under which the upstream executed the run expired, or the upstream was lost. */
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
     * Returns whether the stored progress of a job includes this outcome. If so, the completion of the run must not be
     * discarded before the progress is stored.
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
