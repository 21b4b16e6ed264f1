package io.caperturn.cli.table;

import io.caperturn.core.model.Limits;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Column of the table, in the order in which it is shown. */
public enum Column {
    /** Share of slot time against kinds of the same urgency. */
    WEIGHT("weight", true),
    /** Class of urgency. */
    URGENCY("urgency", true),
    /** Most tasks running at once. */
    RUNNING("running", false),
    /** Most tasks waiting at once. */
    QUEUED("queued", false),
    /** Most task starts in a second. */
    STARTS_PER_SECOND("startsPerSecond", false),
    /** Longest time that one task may run, in milliseconds. */
    TASK_TIMEOUT("taskTimeoutMilliseconds", true);

    private final String label;
    private final boolean ofKindsOnly;

    Column(String label, boolean ofKindsOnly) {
        this.label = label;
        this.ofKindsOnly = ofKindsOnly;
    }

    /**
     * Returns the column's name.
     *
     * @return the name, as JSON and CSV spell it
     */
    public String label() {
        return label;
    }

    /**
     * Finds a column by its name.
     *
     * @param label the name
     * @return the column, or empty if none has it
     */
    public static Optional<Column> find(String label) {
        return Arrays.stream(values())
                .filter(column -> column.label.equals(label))
                .findFirst();
    }

    /**
     * Lists the columns of a type of row.
     *
     * @param type the type
     * @return the columns in order
     */
    public static List<Column> of(RowName.Type type) {
        return Arrays.stream(values())
                .filter(column -> type == RowName.Type.KIND || !column.ofKindsOnly)
                .toList();
    }

    /**
     * Returns the text of a row's value.
     *
     * @param row the row
     * @return the text, empty for a limit that does not bind and for columns that the row does not have
     */
    public String text(TableRow row) {
        return switch (this) {
            case WEIGHT ->
                row.kind().map(kind -> Integer.toString(kind.weight())).orElse("");
            case URGENCY ->
                row.kind()
                        .map(kind -> kind.urgency().name().toLowerCase(Locale.ROOT))
                        .orElse("");
            case RUNNING -> limit(row.limits().running());
            case QUEUED -> limit(row.limits().queued());
            case STARTS_PER_SECOND -> limit(row.limits().startsPerSecond());
            case TASK_TIMEOUT ->
                row.kind()
                        .map(kind -> Long.toString(kind.taskTimeout().toMillis()))
                        .orElse("");
        };
    }

    private static String limit(int value) {
        return value == Limits.UNLIMITED ? "" : Integer.toString(value);
    }
}
