package io.caperturn.kernel;

/** Component of a process that the {@link ServiceRegistry} starts and stops. */
public interface Service {
    /**
     * Starts the service; it may look up services that were registered before it.
     *
     * @param services the registry that starts the service
     * @throws ServiceStartException if the service can't start; it must have released its resources before, since
     *     {@link #stop} is not called
     */
    void start(ServiceRegistry services) throws ServiceStartException;

    /** Stops the service and releases its resources; called at most once, and only after a successful start. */
    void stop();
}
