package io.caperturn.core.model;

/** What is known about whether work ran. */
public enum Execution {
    /** The work did not run and never will under this identity and fence. */
    NOT_RUN("not-run"),
    /**
     * This attempt to submit the work started nothing and never will; whether an earlier one did could not be looked
     * up.
     */
    ATTEMPT_NOT_RUN("attempt-not-run"),
    /** The work may have run; nothing that is left can tell. */
    MAY_HAVE_RUN("may-have-run"),
    /** The work ran. */
    RAN("ran");

    private final String label;

    Execution(String label) {
        this.label = label;
    }

    /**
     * Tells whether the submission may be sent again under its key without a second run: nothing was started for it.
     *
     * @return true of a refusal that started nothing
     */
    public boolean isNotRun() {
        return this == NOT_RUN || this == ATTEMPT_NOT_RUN;
    }

    /**
     * Returns the spelling that clients see.
     *
     * @return {@code not-run}, {@code attempt-not-run}, {@code may-have-run} or {@code ran}
     */
    public String label() {
        return label;
    }
}
