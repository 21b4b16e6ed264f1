package io.caperturn.replay.trace;

/** Thrown if a trace file is empty or a line of it is malformed. */
public final class TraceFormatException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the description, which names the malformed line
     * @param cause the cause, or null
     */
    public TraceFormatException(String message, Exception cause) {
        super(message, cause);
    }
}
