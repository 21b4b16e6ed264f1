package io.caperturn.store;

/**
 * Table and key that identify a row.
 *
 * @param table the table's name, not blank
 * @param key the row's key within the table, not blank
 */
public record RowKey(String table, String key) {
    /** Checks that neither component is blank. */
    public RowKey {
        if (table.isBlank() || key.isBlank()) {
            throw new IllegalArgumentException("table and key must not be blank");
        }
    }
}
