package io.caperturn.kernel;

/** Says that a service could not start. */
public final class ServiceStartException extends Exception {
    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message one line for people
     */
    public ServiceStartException(String message) {
        super(message);
    }

    /**
     * Creates the exception with its cause.
     *
     * @param message one line for people
     * @param cause what went wrong below
     */
    public ServiceStartException(String message, Throwable cause) {
        super(message, cause);
    }
}
