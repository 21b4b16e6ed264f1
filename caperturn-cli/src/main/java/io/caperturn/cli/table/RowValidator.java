package io.caperturn.cli.table;

import io.caperturn.core.model.Limits;
import io.caperturn.core.model.Urgency;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Validator of the values that an operator gave for a row of the table of weights and limits. It reports all mistakes.
 */
final class RowValidator {
    private static final String UNLIMITED = "unlimited";
    private static final int MAXIMUM_TASK_TIMEOUT_MILLISECONDS = 3_600_000;

    /** Row to validate. Each mistake names the row's place, which is its identity and, if it has one, its line. */
    private final UncheckedRow row;

    private final List<TableMistake> mistakes = new ArrayList<>();

    private RowValidator(UncheckedRow row) {
        this.row = row;
    }

    /** Result of validating a row. */
    sealed interface Result {
        /** The values are valid; the row has the version that the operator expects, or 0 if none was given. */
        record Valid(LimitTableRow row) implements Result {}

        /** The row has at least one mistake. */
        record Invalid(List<TableMistake> mistakes) implements Result {}
    }

    static Result validate(UncheckedRow row) {
        return new RowValidator(row).validate();
    }

    private Result validate() {
        Optional<LimitTableRow.KindValues> kindValues =
                row.identity().type() == RowIdentity.Type.KIND ? Optional.of(readKindValues()) : Optional.empty();
        Limits limits = new Limits(
                readLimit(TableColumn.RUNNING),
                readLimit(TableColumn.QUEUED),
                readLimit(TableColumn.STARTS_PER_SECOND));
        for (TableColumn column : TableColumn.values()) {
            if (!TableColumn.forType(row.identity().type()).contains(column)
                    && !row.text(column).isEmpty()) {
                addMistake(column, "a team has no such value; leave it empty");
            }
        }
        if (row.identity().name().isBlank()) {
            mistakes.add(new TableMistake(row.place(), "name", "a name is required"));
        }
        return mistakes.isEmpty()
                ? new Result.Valid(new LimitTableRow(
                        row.identity(),
                        kindValues,
                        limits,
                        row.expectedVersion().orElse(0)))
                : new Result.Invalid(List.copyOf(mistakes));
    }

    private LimitTableRow.KindValues readKindValues() {
        int weight = readNumber(TableColumn.WEIGHT, 1, Integer.MAX_VALUE);
        int timeout = readNumber(TableColumn.TASK_TIMEOUT, 1, MAXIMUM_TASK_TIMEOUT_MILLISECONDS);
        return new LimitTableRow.KindValues(weight, readUrgency(), Duration.ofMillis(timeout));
    }

    private Urgency readUrgency() {
        String text = row.text(TableColumn.URGENCY).toUpperCase(Locale.ROOT);
        return Arrays.stream(Urgency.values())
                .filter(urgency -> urgency.name().equals(text))
                .findFirst()
                .orElseGet(() -> {
                    addMistake(TableColumn.URGENCY, "urgent, normal or background");
                    return Urgency.NORMAL;
                });
    }

    private int readLimit(TableColumn column) {
        String text = row.text(column);
        if (text.isEmpty() || text.equals(UNLIMITED)) {
            return Limits.UNLIMITED;
        }
        int value = readNumber(column, 0, Limits.UNLIMITED - 1);
        // An invalid number also gives 0; its mistake has been added already.
        if (value == 0 && text.matches("0+") && !row.explicitZero()) {
            addMistake(
                    column,
                    "a limit of 0 stops all of its tasks; set explicitZero if that is intended, or leave it empty");
        }
        return value;
    }

    /** Reads a whole number; if it is absent or out of range, adds a mistake and returns the minimum. */
    private int readNumber(TableColumn column, int minimum, int maximum) {
        String text = row.text(column);
        if (text.matches("-?[0-9]{1,10}")) {
            long value = Long.parseLong(text);
            if (value >= minimum && value <= maximum) {
                return (int) value;
            }
        }
        addMistake(column, "a whole number from " + minimum + " to " + maximum);
        return minimum;
    }

    /** Adds a mistake that shows the given value and the allowed ones or, for a prohibited value, the reason. */
    private void addMistake(TableColumn column, String allowed) {
        String text = row.text(column);
        String shownText = text.isEmpty() ? "empty" : text;
        mistakes.add(new TableMistake(row.place(), column.label(), shownText + "; allowed: " + allowed));
    }
}
