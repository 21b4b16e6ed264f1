package io.caperturn.store;

import java.util.Objects;
import java.util.Optional;

/**
 * Write of one row, conditional on the row's current version.
 *
 * @param key the row's key
 * @param expectedVersion the version that the row must have; 0 if it must not exist
 * @param value the new value as JSON text; empty to delete the row
 */
public record Write(RowKey key, long expectedVersion, Optional<String> value) {
    /** Checks that no component is null. */
    public Write {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
