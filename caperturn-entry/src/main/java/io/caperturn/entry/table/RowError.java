package io.caperturn.entry.table;

import java.util.Objects;

/**
 * Error in a row that an operator sent.
 *
 * @param row the name of the row, {@code kinds/NAME} or {@code teams/NAME}; {@code edits[INDEX]} if the edit names no
 *     row; empty for the change as a whole
 * @param column the column, empty for the whole row
 * @param message the value found and the values allowed
 */
record RowError(String row, String column, String message) {
    /** Rejects null components. */
    RowError {
        Objects.requireNonNull(row, "row");
        Objects.requireNonNull(column, "column");
        Objects.requireNonNull(message, "message");
    }
}
