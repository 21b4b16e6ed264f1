package io.caperturn.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Registry that starts services in the order of their registration and stops them in reverse.
 *
 * <p>A failure while one service starts stops those that were started before it. Registration, start and stop belong to
 * one thread; look-up is allowed from any thread once {@link #start} has returned.
 */
public final class ServiceRegistry {
    private static final System.Logger LOGGER = System.getLogger(ServiceRegistry.class.getName());

    private final Map<String, Service> services = new LinkedHashMap<>();
    private final Deque<Map.Entry<String, Service>> started = new ArrayDeque<>();

    /**
     * Registers a service.
     *
     * @param <T> the type that it is found as
     * @param name its name
     * @param service the service
     * @throws IllegalArgumentException if the name is taken
     */
    public <T extends Service> void register(ServiceName<T> name, T service) {
        Objects.requireNonNull(service, "service");
        if (services.putIfAbsent(name.name(), service) != null) {
            throw new IllegalArgumentException("service name taken: " + name.name());
        }
    }

    /**
     * Finds a service by its name.
     *
     * @param <T> the type that it is found as
     * @param name its name
     * @return the service
     * @throws IllegalArgumentException if there is none of that name and type
     */
    public <T> T find(ServiceName<T> name) {
        Service service = services.get(name.name());
        if (!name.type().isInstance(service)) {
            throw new IllegalArgumentException(
                    "no service " + name.name() + " of type " + name.type().getName());
        }
        return name.type().cast(service);
    }

    /**
     * Starts all services in the order of their registration.
     *
     * @throws ServiceStartException if one can't start; those started before it are stopped
     */
    public void start() throws ServiceStartException {
        for (Map.Entry<String, Service> entry : services.entrySet()) {
            try {
                entry.getValue().start(this);
            } catch (ServiceStartException | RuntimeException e) {
                stop();
                throw new ServiceStartException("service " + entry.getKey() + " did not start: " + e.getMessage(), e);
            }
            started.push(entry);
        }
    }

    /** Stops the started services in reverse order; a failure of one does not keep the others from stopping. */
    public void stop() {
        while (!started.isEmpty()) {
            Map.Entry<String, Service> entry = started.pop();
            try {
                entry.getValue().stop();
            } catch (RuntimeException e) {
                LOGGER.log(
                        System.Logger.Level.WARNING,
                        EventLine.of("service-stop-failed")
                                .with("service", entry.getKey())
                                .toString(),
                        e);
            }
        }
    }
}
