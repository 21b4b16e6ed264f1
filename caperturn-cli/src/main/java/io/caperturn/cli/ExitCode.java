package io.caperturn.cli;

/** Exit code of the command line. */
public enum ExitCode {
    /** Done as asked. */
    DONE(0),
    /** Failed; where work was submitted, some of it ran or may have run. */
    FAILED(1),
    /** The command line or a file that it names is wrong; nothing was started. */
    WRONG_USAGE(2),
    /** Refused: it did not run or take effect. */
    REFUSED(3),
    /** No answer came; asking again with the same key tells. */
    UNKNOWN(4);

    private final int code;

    ExitCode(int code) {
        this.code = code;
    }

    /**
     * Returns the code that the process ends with.
     *
     * @return the code, 0 to 4
     */
    public int code() {
        return code;
    }
}
