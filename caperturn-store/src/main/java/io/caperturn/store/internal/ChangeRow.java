package io.caperturn.store.internal;

import io.caperturn.store.RowKey;
import java.util.List;
import java.util.Objects;

/**
 * Value of a row in the store's table {@code changes}, the history of changes to the operators' table.
 *
 * @param version the version of the operators' table that the change produced
 * @param changeId the change's identifier
 * @param author the author of the change
 * @param atMilliseconds the time of the change, in milliseconds since the epoch
 * @param edits the rows that the change wrote or deleted
 */
public record ChangeRow(long version, String changeId, String author, long atMilliseconds, List<EditValue> edits) {
    /** Name of the store's table of changes. */
    public static final String TABLE = "changes";

    /** Number of decimal digits of the greatest version, to which keys are padded. */
    private static final int KEY_DIGITS = 19;

    /** Copies the edits and checks that no component is null. */
    public ChangeRow {
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(author, "author");
        edits = List.copyOf(edits);
    }

    /**
     * Returns the key of the change that produced a version; keys sort in the order of their versions.
     *
     * @param version the version
     * @return the key
     */
    public static RowKey keyOf(long version) {
        return new RowKey(TABLE, String.format("%0" + KEY_DIGITS + "d", version));
    }

    /**
     * One row that a change wrote or deleted.
     *
     * @param table the name of the row's table
     * @param key the row's key
     * @param value the written value as JSON text; null if the row was deleted
     */
    public record EditValue(String table, String key, String value) {}
}
