package io.caperturn.jobs.model;

/** State of a job as shown to callers. */
public enum JobState {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks have succeeded. */
    COMPLETED,
    /** A task has failed as often as its queue allows. */
    FAILED,
    /** A caller has cancelled the job. */
    CANCELLED;

    private static final JobState[] VALUES = values();

    /**
     * Returns the state with an ordinal.
     *
     * @param ordinal the ordinal
     * @return the state
     * @throws IllegalArgumentException if no state has that ordinal
     */
    public static JobState of(int ordinal) {
        if (ordinal < 0 || ordinal >= VALUES.length) {
            throw new IllegalArgumentException("no job state with ordinal " + ordinal);
        }
        return VALUES[ordinal];
    }
}
