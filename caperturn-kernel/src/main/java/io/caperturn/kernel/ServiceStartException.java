package io.caperturn.kernel;

/** Thrown when a service cannot start. */
public final class ServiceStartException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message why the service cannot start, in one line
     */
    public ServiceStartException(String message) {
        super(message);
    }

    /**
     * Creates the exception with its cause.
     *
     * @param message why the service cannot start, in one line
     * @param cause the cause
     */
    public ServiceStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
