package io.caperturn.replay.trace;

/** Says that a file is no trace. */
public final class TraceFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message one line for people
     * @param cause what was caught, or null
     */
    public TraceFormatException(String message, Exception cause) {
        super(message, cause);
    }
}
