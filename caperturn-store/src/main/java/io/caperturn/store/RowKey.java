package io.caperturn.store;

/**
 * Place of a row.
 *
 * @param table the table's name, not blank
 * @param key the row's key within the table, not blank
 */
public record RowKey(String table, String key) {
    /** Checks that neither part is blank. */
    public RowKey {
        if (table.isBlank() || key.isBlank()) {
            throw new IllegalArgumentException("table and key must not be blank");
        }
    }
}
