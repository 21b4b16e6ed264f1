package io.caperturn.testkit.platform;

/**
 * Row of a table of the stand-in platform.
 *
 * @param table the table's name
 * @param key the row's key
 * @param version the number of values written under the key so far, never reset; 0 if the row is absent
 * @param value the row's text; null if the row is absent
 */
public record StoredRow(String table, String key, long version, String value) {
    /** Checks that an absent row has no version. */
    public StoredRow {
        if (value == null && version != 0) {
            throw new IllegalArgumentException("an absent row has version 0");
        }
    }
}
