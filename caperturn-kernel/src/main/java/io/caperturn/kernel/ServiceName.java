package io.caperturn.kernel;

import java.util.Objects;

/**
 * Name under which a service is registered, and the type with which it is looked up.
 *
 * @param <T> the type of the service
 * @param name the name, unique within a registry
 * @param type the type of the service
 */
public record ServiceName<T>(String name, Class<T> type) {
    /**
     * Creates a name.
     *
     * @throws NullPointerException if the name or the type is null
     */
    public ServiceName {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(type, "type");
    }
}
