package io.caperturn.jobs.model;

/** How a run of a task stands or ended. */
public enum RunOutcome {
    /** It waits at the sidecar. */
    QUEUED,
    /** It runs, or its start has been ordered. */
    RUNNING,
    /** It ended with success. */
    DONE,
    /** It ended through its own fault or that of the upstream. */
    FAILED,
    /** It was ended by an order. */
    STOPPED,
    /** Its lease ran out, or its upstream was lost. */
    LAPSED,
    /** It was refused and never started. */
    REFUSED;

    private static final RunOutcome[] VALUES = values();

    /**
     * Tells whether nothing of the run is left at the upstream.
     *
     * @return true for all but waiting and running
     */
    public boolean isFinished() {
        return this != QUEUED && this != RUNNING;
    }

    /**
     * Tells whether the end has to be stored before it may be forgotten: success and failures count for good.
     *
     * @return true for success and failure
     */
    public boolean isRecorded() {
        return this == DONE || this == FAILED;
    }

    /**
     * Looks an outcome up by its ordinal.
     *
     * @param ordinal the ordinal
     * @return the outcome
     * @throws IllegalArgumentException if there is none
     */
    public static RunOutcome of(int ordinal) {
        if (ordinal < 0 || ordinal >= VALUES.length) {
            throw new IllegalArgumentException("no outcome " + ordinal);
        }
        return VALUES[ordinal];
    }
}
