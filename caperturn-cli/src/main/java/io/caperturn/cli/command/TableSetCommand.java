package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.caperturn.cli.table.Column;
import io.caperturn.cli.table.RowName;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/** Changes or deletes one row of the table. */
@Parameters(commandDescription = "Change, create or delete one row; values that are not given stay as they are")
public final class TableSetCommand implements TableCommand {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddresses entries = new EntryAddresses();

    @ParametersDelegate
    private final ChangeOptions change = new ChangeOptions();

    @Parameter(names = "--kind", description = "Kind whose row is changed")
    private String kind;

    @Parameter(names = "--team", description = "Team whose row is changed")
    private String team;

    @Parameter(names = "--weight", description = "Share against kinds of the same urgency, at least 1")
    private String weight;

    @Parameter(names = "--urgency", description = "urgent, normal or background")
    private String urgency;

    @Parameter(names = "--running", description = "Most tasks running at once, or unlimited")
    private String running;

    @Parameter(names = "--queued", description = "Most tasks waiting at once, or unlimited")
    private String queued;

    @Parameter(names = "--starts-per-second", description = "Most task starts in a second, or unlimited")
    private String startsPerSecond;

    @Parameter(names = "--task-timeout-milliseconds", description = "Longest run of one task")
    private String taskTimeout;

    @Parameter(names = "--explicit-zero", description = "A limit of 0 is meant and stops all of it")
    private boolean explicitZero;

    @Parameter(names = "--expected-version", description = "Version that the row must have; the one in force if absent")
    private Long expectedVersion;

    @Parameter(names = "--delete", description = "Delete the row")
    private boolean delete;

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public List<String> entries() {
        return entries.addresses();
    }

    @Override
    public List<String> mistakes() {
        List<String> mistakes = new ArrayList<>(entries.mistakes());
        mistakes.addAll(change.mistakes());
        if ((kind == null) == (team == null)) {
            mistakes.add("give either --kind or --team");
        }
        if (delete != cells().isEmpty()) {
            mistakes.add("give values to change, or --delete");
        }
        return mistakes;
    }

    /**
     * Returns the options of the change.
     *
     * @return the options
     */
    public ChangeOptions change() {
        return change;
    }

    /**
     * Returns the name of the row.
     *
     * @return the name
     */
    public RowName row() {
        return kind == null ? new RowName(RowName.Type.TEAM, team) : new RowName(RowName.Type.KIND, kind);
    }

    /**
     * Returns the values that are to be changed.
     *
     * @return the texts by column
     */
    public Map<Column, String> cells() {
        Map<Column, String> cells = new EnumMap<>(Column.class);
        put(cells, Column.WEIGHT, weight);
        put(cells, Column.URGENCY, urgency);
        put(cells, Column.RUNNING, running);
        put(cells, Column.QUEUED, queued);
        put(cells, Column.STARTS_PER_SECOND, startsPerSecond);
        put(cells, Column.TASK_TIMEOUT, taskTimeout);
        return cells;
    }

    /**
     * Tells whether a limit of 0 is meant.
     *
     * @return true if so
     */
    public boolean explicitZero() {
        return explicitZero;
    }

    /**
     * Returns the version that the row must have.
     *
     * @return the version, or empty for the one in force
     */
    public OptionalLong expectedVersion() {
        return expectedVersion == null ? OptionalLong.empty() : OptionalLong.of(expectedVersion);
    }

    /**
     * Tells whether the row is deleted.
     *
     * @return true if so
     */
    public boolean delete() {
        return delete;
    }

    private static void put(Map<Column, String> cells, Column column, String text) {
        if (text != null) {
            cells.put(column, text);
        }
    }
}
