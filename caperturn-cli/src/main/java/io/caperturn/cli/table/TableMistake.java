package io.caperturn.cli.table;

import java.util.Objects;

/**
 * Mistake in a row of the table.
 *
 * @param place where it stands: the row's name, with the line of its file where there is one
 * @param column the column, empty for the whole row
 * @param message what is wrong and what is allowed
 */
public record TableMistake(String place, String column, String message) {
    /** Checks that all parts are present. */
    public TableMistake {
        Objects.requireNonNull(place, "place");
        Objects.requireNonNull(column, "column");
        Objects.requireNonNull(message, "message");
    }

    @Override
    public String toString() {
        return column.isEmpty() ? place + ": " + message : place + ", column " + column + ": " + message;
    }
}
