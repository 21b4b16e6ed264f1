package io.caperturn.core.model;

/**
 * Knowledge about whether a submission or an attempt to run a task was executed.
 *
 * <p>Each new owner of a submission gets a higher fencing token.
 */
public enum Execution {
    /** The work did not run, and will not run under the same identity and fencing token. */
    NOT_RUN("not-run"),
    /**
     * This request started nothing and never will; whether an earlier request for the same submission started the work
     * could not be determined.
     */
    ATTEMPT_NOT_RUN("attempt-not-run"),
    /** Whether the work ran can no longer be determined. */
    MAY_HAVE_RUN("may-have-run"),
    /** The work ran. */
    RAN("ran");

    private final String label;

    Execution(String label) {
        this.label = label;
    }

    /**
     * Returns whether the request started nothing, so that the submission may be sent again under its key without a
     * second run.
     *
     * @return true for {@link #NOT_RUN} and {@link #ATTEMPT_NOT_RUN}
     */
    public boolean isNotRun() {
        return this == NOT_RUN || this == ATTEMPT_NOT_RUN;
    }

    /**
     * Returns the name under which clients see the value.
     *
     * @return {@code not-run}, {@code attempt-not-run}, {@code may-have-run} or {@code ran}
     */
    public String label() {
        return label;
    }
}
