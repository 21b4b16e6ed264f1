package io.caperturn.kernel;

import java.util.Objects;

/**
 * Name under which a service is registered, with the type that it is found as.
 *
 * @param <T> the service's type
 * @param name the name, unique within a kernel
 * @param type the service's type
 */
public record ServiceName<T>(String name, Class<T> type) {
    /** Checks that both parts are present. */
    public ServiceName {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(type, "type");
    }
}
