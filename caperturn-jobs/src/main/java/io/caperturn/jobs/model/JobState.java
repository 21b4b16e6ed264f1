package io.caperturn.jobs.model;

/** State of a job as callers see it. */
public enum JobState {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks ended with success. */
    COMPLETED,
    /** A task failed as often as its queue allows. */
    FAILED,
    /** A caller cancelled the job. */
    CANCELLED;

    private static final JobState[] VALUES = values();

    /**
     * Looks a state up by its ordinal.
     *
     * @param ordinal the ordinal
     * @return the state
     * @throws IllegalArgumentException if there is none
     */
    public static JobState of(int ordinal) {
        if (ordinal < 0 || ordinal >= VALUES.length) {
            throw new IllegalArgumentException("no job state " + ordinal);
        }
        return VALUES[ordinal];
    }
}
