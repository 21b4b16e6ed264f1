package io.caperturn.entry.table;

import java.util.Objects;

/**
 * Mistake in a row that an operator sent.
 *
 * @param row the row's name, {@code kinds/name} or {@code teams/name}, or its place among the edits
 * @param column the column, empty for the whole row
 * @param message what was given and what is allowed
 */
record RowError(String row, String column, String message) {
    /** Checks that all parts are present. */
    RowError {
        Objects.requireNonNull(row, "row");
        Objects.requireNonNull(column, "column");
        Objects.requireNonNull(message, "message");
    }
}
