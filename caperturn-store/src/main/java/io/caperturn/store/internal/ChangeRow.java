package io.caperturn.store.internal;

import io.caperturn.store.RowKey;
import java.util.List;
import java.util.Objects;

/**
 * Value of a row of the table {@code changes}, the history of edits.
 *
 * @param version the version of the whole table that the change made
 * @param changeId the change's identity
 * @param author who made it
 * @param atMilliseconds when it was made, since the epoch
 * @param edits the rows that it wrote
 */
public record ChangeRow(long version, String changeId, String author, long atMilliseconds, List<EditValue> edits) {
    /** Store's table of changes. */
    public static final String TABLE = "changes";

    private static final int KEY_DIGITS = 19;

    /** Copies the edits and checks that all parts are present. */
    public ChangeRow {
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(author, "author");
        edits = List.copyOf(edits);
    }

    /**
     * Returns the place of the change that made a version; keys sort as their versions do.
     *
     * @param version the version
     * @return the place
     */
    public static RowKey keyOf(long version) {
        return new RowKey(TABLE, String.format("%0" + KEY_DIGITS + "d", version));
    }

    /**
     * One row that a change wrote.
     *
     * @param table the store's table
     * @param key the row's key
     * @param value the value written, JSON text; null if the row was deleted
     */
    public record EditValue(String table, String key, String value) {}
}
