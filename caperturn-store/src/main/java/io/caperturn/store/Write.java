package io.caperturn.store;

import java.util.Objects;
import java.util.Optional;

/**
 * Write of one row under the condition that its version is the expected one.
 *
 * @param key the row's place
 * @param expectedVersion the version that the row must have; 0 if it must not exist
 * @param value the new value, JSON text; empty to delete the row
 */
public record Write(RowKey key, long expectedVersion, Optional<String> value) {
    /** Checks that all parts are present. */
    public Write {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
