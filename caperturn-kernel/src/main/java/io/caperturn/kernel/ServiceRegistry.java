package io.caperturn.kernel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

/**
 * Registry of services that starts them in the order of their registration and stops them in reverse order.
 *
 * <p>If a service fails to start, the services that were started before it are stopped. Registration, start and stop
 * must be called on one thread; look-up is allowed from any thread once {@link #start} has returned.
 */
public final class ServiceRegistry {
    private static final System.Logger LOGGER = System.getLogger(ServiceRegistry.class.getName());

    private final Map<String, Service> services = new LinkedHashMap<>();
    private final Deque<Map.Entry<String, Service>> started = new ArrayDeque<>();

    /**
     * Registers a service.
     *
     * @param <T> the type with which it is looked up
     * @param name the name and type of the service
     * @param service the service
     * @throws IllegalArgumentException if a service of that name is already registered
     */
    public <T extends Service> void register(ServiceName<T> name, T service) {
        Objects.requireNonNull(service, "service");
        if (services.putIfAbsent(name.name(), service) != null) {
            throw new IllegalArgumentException("service name already registered: " + name.name());
        }
    }

    /**
     * Returns a registered service.
     *
     * @param <T> the type with which it is looked up
     * @param name the name and type of the service
     * @return the service
     * @throws IllegalArgumentException if no service of that name and type is registered
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
     * @throws ServiceStartException if a service can't start; those started before it are stopped
     */
    public void start() throws ServiceStartException {
        for (Map.Entry<String, Service> namedService : services.entrySet()) {
            try {
                namedService.getValue().start(this);
            } catch (ServiceStartException | RuntimeException e) {
                stop();
                throw new ServiceStartException(
                        "service " + namedService.getKey() + " did not start: " + e.getMessage(), e);
            }
            started.push(namedService);
        }
    }

    /**
     * Stops the started services in reverse order; if one fails to stop, the failure is logged and the others are
     * stopped.
     */
    public void stop() {
        while (!started.isEmpty()) {
            Map.Entry<String, Service> namedService = started.pop();
            try {
                namedService.getValue().stop();
            } catch (RuntimeException e) {
                LOGGER.log(
                        System.Logger.Level.WARNING,
                        EventLine.of("service-stop-failed")
                                .with("service", namedService.getKey())
                                .toString(),
                        e);
            }
        }
    }
}
