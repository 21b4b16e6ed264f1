package io.caperturn.cli.table;

import java.util.Objects;

/**
 * Mistake in a row of the operators' table of weights and limits, or in a file of such rows.
 *
 * @param place the position of the mistake: the identity of the row, with the line of its file if it has one, or the
 *     part of the file
 * @param column the name of the column, empty for the whole row
 * @param message a description of the mistake, with the allowed values
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
