package io.caperturn.cli.table;

import java.util.Objects;
import java.util.Optional;

/**
 * Edit of one row of the operators' table of weights and limits.
 *
 * @param before the row in force, empty to create the row
 * @param after the wanted row, empty to delete the row
 * @param expectedVersion the version that the row must have, 0 if it must not exist
 * @param explicitZero whether the operator confirms a limit of 0, which stops the kind of task or the team
 */
public record TableEdit(
        Optional<LimitTableRow> before, Optional<LimitTableRow> after, long expectedVersion, boolean explicitZero) {
    /** Checks that there is a row before or after the edit. */
    public TableEdit {
        Objects.requireNonNull(before, "before");
        if (before.isEmpty() && after.isEmpty()) {
            throw new IllegalArgumentException("an edit has a row before or after");
        }
    }

    /**
     * Returns the identity of the row.
     *
     * @return the identity
     */
    public RowIdentity rowIdentity() {
        return after.or(() -> before).orElseThrow().identity();
    }

    /**
     * Returns the difference between the rows in one line.
     *
     * @return {@code +} with the values of a new row, {@code -} with those of a deleted row, or {@code ~} with the old
     *     and new text of each changed value
     */
    public String formatDifference() {
        if (before.isEmpty()) {
            return "+ " + rowIdentity() + formatValues(after.orElseThrow());
        }
        if (after.isEmpty()) {
            return "- " + rowIdentity() + formatValues(before.get());
        }
        StringBuilder line = new StringBuilder("~ ").append(rowIdentity());
        for (TableColumn column : TableColumn.forType(rowIdentity().type())) {
            String current = column.text(before.get());
            String wanted = column.text(after.get());
            if (!current.equals(wanted)) {
                line.append(' ')
                        .append(column.label())
                        .append(' ')
                        .append(displayText(current))
                        .append(" -> ")
                        .append(displayText(wanted));
            }
        }
        return line.toString();
    }

    /**
     * Returns the values of a row in one line.
     *
     * @param row the row
     * @return {@code column=value} for each column that is not empty, each preceded by a blank
     */
    public static String formatValues(LimitTableRow row) {
        StringBuilder line = new StringBuilder();
        for (TableColumn column : TableColumn.forType(row.identity().type())) {
            if (!column.text(row).isEmpty()) {
                line.append(' ').append(column.label()).append('=').append(column.text(row));
            }
        }
        return line.toString();
    }

    private static String displayText(String text) {
        return text.isEmpty() ? "unlimited" : text;
    }
}
