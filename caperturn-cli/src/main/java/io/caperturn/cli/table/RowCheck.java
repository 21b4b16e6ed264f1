package io.caperturn.cli.table;

import io.caperturn.core.model.Limits;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Check of a row's cells, which reports every mistake of the row at once. */
final class RowCheck {
    private static final String UNLIMITED = "unlimited";
    private static final int MAXIMUM_TASK_TIMEOUT_MILLISECONDS = 3_600_000;

    private final RowCells row;
    private final List<TableMistake> mistakes = new ArrayList<>();

    private RowCheck(RowCells row) {
        this.row = row;
    }

    /** What came of checking a row. */
    sealed interface Result {
        /** The row is valid; its version is the one that was written, or 0. */
        record Valid(TableRow row) implements Result {}

        /** The row has at least one mistake. */
        record Invalid(List<TableMistake> mistakes) implements Result {}
    }

    static Result check(RowCells row) {
        return new RowCheck(row).check();
    }

    private Result check() {
        Optional<TableRow.KindValues> kind =
                row.name().type() == RowName.Type.KIND ? Optional.of(kindValues()) : Optional.empty();
        Limits limits = new Limits(limit(Column.RUNNING), limit(Column.QUEUED), limit(Column.STARTS_PER_SECOND));
        for (Column column : Column.values()) {
            if (!Column.of(row.name().type()).contains(column)
                    && !row.text(column).isEmpty()) {
                refuse(column, "a team has no such value; leave it empty");
            }
        }
        if (row.name().name().isBlank()) {
            mistakes.add(new TableMistake(row.place(), "name", "a name is needed"));
        }
        return mistakes.isEmpty()
                ? new Result.Valid(new TableRow(
                        row.name(), kind, limits, row.expectedVersion().orElse(0)))
                : new Result.Invalid(List.copyOf(mistakes));
    }

    private TableRow.KindValues kindValues() {
        int weight = number(Column.WEIGHT, 1, Integer.MAX_VALUE);
        int timeout = number(Column.TASK_TIMEOUT, 1, MAXIMUM_TASK_TIMEOUT_MILLISECONDS);
        return new TableRow.KindValues(weight, urgency(), Duration.ofMillis(timeout));
    }

    private Urgency urgency() {
        String text = row.text(Column.URGENCY).toUpperCase(Locale.ROOT);
        return Arrays.stream(Urgency.values())
                .filter(urgency -> urgency.name().equals(text))
                .findFirst()
                .orElseGet(() -> {
                    refuse(Column.URGENCY, "urgent, normal or background");
                    return Urgency.NORMAL;
                });
    }

    private int limit(Column column) {
        String text = row.text(column);
        if (text.isEmpty() || text.equals(UNLIMITED)) {
            return Limits.UNLIMITED;
        }
        int value = number(column, 0, Limits.UNLIMITED - 1);
        if (value == 0 && text.matches("0+") && !row.explicitZero()) {
            refuse(column, "a limit of 0 stops all of it; say explicitZero if that is meant, or leave it empty");
        }
        return value;
    }

    private int number(Column column, int minimum, int maximum) {
        String text = row.text(column);
        if (text.matches("-?[0-9]{1,10}")) {
            long value = Long.parseLong(text);
            if (value >= minimum && value <= maximum) {
                return (int) value;
            }
        }
        refuse(column, "a whole number from " + minimum + " to " + maximum);
        return minimum;
    }

    private void refuse(Column column, String allowed) {
        String text = row.text(column);
        String given = text.isEmpty() ? "empty" : text;
        mistakes.add(new TableMistake(row.place(), column.label(), given + "; allowed: " + allowed));
    }
}
