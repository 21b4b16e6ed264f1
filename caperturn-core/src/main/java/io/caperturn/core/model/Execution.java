package io.caperturn.core.model;

/** What is known about whether work ran. */
public enum Execution {
    /** The work did not run and never will under this identity and fence. */
    NOT_RUN("not-run"),
    /** The work may have run; nothing that is left can tell. */
    MAY_HAVE_RUN("may-have-run"),
    /** The work ran. */
    RAN("ran");

    private final String label;

    Execution(String label) {
        this.label = label;
    }

    /**
     * Returns the spelling that clients see.
     *
     * @return {@code not-run}, {@code may-have-run} or {@code ran}
     */
    public String label() {
        return label;
    }
}
