package io.caperturn.kernel;

/** Part of a process that the {@link ServiceRegistry} starts and stops. */
public interface Service {
    /**
     * Starts the service; it may look up services that were registered before it.
     *
     * @param kernel the kernel that starts it
     * @throws ServiceStartException if it can't start; it must then hold nothing that needs stopping
     */
    void start(ServiceRegistry kernel) throws ServiceStartException;

    /** Stops the service and releases what it holds; called at most once, only after a completed start. */
    void stop();
}
