package io.caperturn.cli;

/** Exit code of a command. */
public enum ExitCode {
    /** The command succeeded. */
    DONE(0),
    /** The command failed; some or all of the work that it submitted ran or may have run. */
    FAILED(1),
    /** The command line, or a file that it names, is invalid; nothing was started. */
    WRONG_USAGE(2),
    /** The command was refused and had no effect; submitted work did not run. */
    REFUSED(3),
    /** No conclusive answer arrived; a retry with the same idempotency key or change identity gives the outcome. */
    UNKNOWN(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the exit status of the process.
     *
     * @return the code, 0 to 4
     */
    public int code() {
        return code;
    }
}
