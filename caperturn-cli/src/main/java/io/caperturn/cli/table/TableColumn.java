package io.caperturn.cli.table;

import io.caperturn.core.model.Limits;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;

/** Column of the operators' table of weights and limits; its constants are in display order. */
public enum TableColumn {
    /** Share of running tasks relative to kinds (named classes of work) of the same urgency. */
    WEIGHT("weight", /* forKindsOnly= */ true),
    /** Urgency class. */
    URGENCY("urgency", true),
    /** Maximum number of tasks running at once. */
    RUNNING("running", false),
    /** Maximum number of tasks waiting at once. */
    QUEUED("queued", false),
    /** Maximum number of task starts per second. */
    STARTS_PER_SECOND("startsPerSecond", false),
    /** Time-out of the run of one task, in milliseconds. */
    TASK_TIMEOUT("taskTimeoutMilliseconds", true);

    private final String label;
    /** Whether rows of teams lack the column. */
    private final boolean forKindsOnly;

    TableColumn(String label, boolean forKindsOnly) {
        this.label = label;
        this.forKindsOnly = forKindsOnly;
    }

    /**
     * Returns the name of the column.
     *
     * @return the name, as written in JSON and CSV
     */
    public String label() {
        return label;
    }

    /**
     * Finds a column by its name.
     *
     * @param label the name
     * @return the column, or empty if no column has this name
     */
    public static Optional<TableColumn> findByLabel(String label) {
        return Arrays.stream(values())
                .filter(column -> column.label.equals(label))
                .findFirst();
    }

    /**
     * Returns the columns that a type of row has.
     *
     * @param type the type
     * @return the columns in order
     */
    public static List<TableColumn> forType(RowIdentity.Type type) {
        return Arrays.stream(values())
                .filter(column -> type == RowIdentity.Type.KIND || !column.forKindsOnly)
                .toList();
    }

    /**
     * Returns the value of a row in this column as text.
     *
     * @param row the row
     * @return the text, empty for an unlimited value and for a column that the row does not have
     */
    public String text(LimitTableRow row) {
        return switch (this) {
            case WEIGHT ->
                row.kindValues()
                        .map(values -> Integer.toString(values.weight()))
                        .orElse("");
            case URGENCY ->
                row.kindValues()
                        .map(values -> values.urgency().name().toLowerCase(Locale.ROOT))
                        .orElse("");
            case RUNNING -> formatLimit(row.limits().running());
            case QUEUED -> formatLimit(row.limits().queued());
            case STARTS_PER_SECOND -> formatLimit(row.limits().startsPerSecond());
            case TASK_TIMEOUT ->
                row.kindValues()
                        .map(values -> Long.toString(values.taskTimeout().toMillis()))
                        .orElse("");
        };
    }

    private static String formatLimit(int value) {
        return value == Limits.UNLIMITED ? "" : Integer.toString(value);
    }
}
