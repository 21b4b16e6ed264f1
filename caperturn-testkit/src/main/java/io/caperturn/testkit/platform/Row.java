package io.caperturn.testkit.platform;

/**
 * Row of a table.
 *
 * @param table the table's name
 * @param key the row's key
 * @param version raised by each write of the key, also after a deletion; 0 where the row does not exist
 * @param value the row's text; null where the row does not exist
 */
public record Row(String table, String key, long version, String value) {
    /** Checks that an absent row has no version. */
    public Row {
        if (value == null && version != 0) {
            throw new IllegalArgumentException("an absent row has version 0");
        }
    }
}
