package io.caperturn.cli.table;

import java.util.Objects;
import java.util.Optional;

/**
 * Edit of one row against the row in force.
 *
 * @param before the row that is in force, empty if there is none
 * @param after the row that is wanted, empty to delete it
 * @param expectedVersion the version that the row must have, 0 if it must not exist
 * @param explicitZero whether the operator says that a limit of 0 is meant
 */
public record TableEdit(
        Optional<TableRow> before, Optional<TableRow> after, long expectedVersion, boolean explicitZero) {
    /** Checks that there is a row. */
    public TableEdit {
        Objects.requireNonNull(before, "before");
        if (before.isEmpty() && after.isEmpty()) {
            throw new IllegalArgumentException("an edit has a row before or after");
        }
    }

    /**
     * Returns the name of the row.
     *
     * @return the name
     */
    public RowName name() {
        return after.or(() -> before).orElseThrow().name();
    }

    /**
     * Tells the difference in one line.
     *
     * @return {@code +} with the values of a new row, {@code -} with a deleted one, {@code ~} with each value changed
     */
    public String difference() {
        if (before.isEmpty()) {
            return "+ " + name() + values(after.orElseThrow());
        }
        if (after.isEmpty()) {
            return "- " + name() + values(before.get());
        }
        StringBuilder line = new StringBuilder("~ ").append(name());
        for (Column column : Column.of(name().type())) {
            String old = column.text(before.get());
            String wanted = column.text(after.get());
            if (!old.equals(wanted)) {
                line.append(' ')
                        .append(column.label())
                        .append(' ')
                        .append(shown(old))
                        .append(" -> ")
                        .append(shown(wanted));
            }
        }
        return line.toString();
    }

    /**
     * Tells a row's values in one line.
     *
     * @param row the row
     * @return {@code column=value} for each column that is not empty, each after a blank
     */
    public static String values(TableRow row) {
        StringBuilder line = new StringBuilder();
        for (Column column : Column.of(row.name().type())) {
            if (!column.text(row).isEmpty()) {
                line.append(' ').append(column.label()).append('=').append(column.text(row));
            }
        }
        return line.toString();
    }

    private static String shown(String text) {
        return text.isEmpty() ? "unlimited" : text;
    }
}
