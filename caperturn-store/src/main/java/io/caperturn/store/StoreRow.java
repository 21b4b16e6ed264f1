package io.caperturn.store;

import java.util.Objects;
import java.util.Optional;

/**
 * Row of a table in the platform's store, as read.
 *
 * @param key the row's key
 * @param version the row's version, raised by each write; 0 if the row does not exist
 * @param value the row's value as JSON text; empty if the row does not exist
 */
public record StoreRow(RowKey key, long version, Optional<String> value) {
    /** Checks that no component is null. */
    public StoreRow {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(value, "value");
    }
}
