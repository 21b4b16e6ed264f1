package io.caperturn.store;

import java.util.Objects;
import java.util.Optional;

/**
 * A row as read.
 *
 * @param key its place
 * @param version its version, raised by each write; 0 if the row does not exist
 * @param value its value, JSON text; empty if the row does not exist
 */
public record Row(RowKey key, long version, Optional<String> value) {
    /** Checks that all parts are present. */
    public Row {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
