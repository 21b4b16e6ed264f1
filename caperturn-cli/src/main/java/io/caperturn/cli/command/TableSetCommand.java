package io.caperturn.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.beust.jcommander.ParametersDelegate;
import io.caperturn.cli.table.RowIdentity;
import io.caperturn.cli.table.TableColumn;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Command {@code table set}, which changes, creates or deletes one row of the operators' table of weights and limits.
 */
@Parameters(commandDescription = "Change, create or delete one row; values that are not given are kept")
public final class TableSetCommand implements TableCommand {
    @ParametersDelegate
    private final CommonOptions common = new CommonOptions();

    @ParametersDelegate
    private final EntryAddressOption entryAddresses = new EntryAddressOption();

    @ParametersDelegate
    private final ChangeOptions change = new ChangeOptions();

    @Parameter(names = "--kind", description = "Kind whose row is changed")
    private String kind;

    @Parameter(names = "--team", description = "Team whose row is changed")
    private String team;

    @Parameter(names = "--weight", description = "Share relative to kinds of the same urgency, at least 1")
    private String weight;

    @Parameter(names = "--urgency", description = "urgent, normal or background")
    private String urgency;

    @Parameter(names = "--running", description = "Maximum number of tasks running at once, or unlimited")
    private String running;

    @Parameter(names = "--queued", description = "Maximum number of tasks waiting at once, or unlimited")
    private String queued;

    @Parameter(names = "--starts-per-second", description = "Maximum number of task starts per second, or unlimited")
    private String startsPerSecond;

    @Parameter(names = "--task-timeout-milliseconds", description = "Time-out of the run of one task")
    private String taskTimeoutMilliseconds;

    @Parameter(
            names = "--explicit-zero",
            description = "Confirm that a limit of 0 is intended, which stops the kind or team")
    private boolean explicitZero;

    @Parameter(names = "--expected-version", description = "Version that the row must have; the current one if absent")
    private Long expectedVersion;

    @Parameter(names = "--delete", description = "Delete the row")
    private boolean delete;

    @Override
    public CommonOptions common() {
        return common;
    }

    @Override
    public List<String> entries() {
        return entryAddresses.addresses();
    }

    @Override
    public List<String> findMistakes() {
        List<String> mistakes = new ArrayList<>(entryAddresses.findMistakes());
        mistakes.addAll(change.findMistakes());
        if ((kind == null) == (team == null)) {
            mistakes.add("expected either --kind or --team");
        }
        if (delete != cells().isEmpty()) {
            mistakes.add("expected either values to change or --delete");
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
     * Returns the identity of the row, which is that of a kind of task or of a team.
     *
     * @return the identity
     */
    public RowIdentity rowIdentity() {
        return kind == null
                ? new RowIdentity(RowIdentity.Type.TEAM, team)
                : new RowIdentity(RowIdentity.Type.KIND, kind);
    }

    /**
     * Returns the values given as options.
     *
     * @return the unchecked values by column
     */
    public Map<TableColumn, String> cells() {
        Map<TableColumn, String> cells = new EnumMap<>(TableColumn.class);
        putIfGiven(cells, TableColumn.WEIGHT, weight);
        putIfGiven(cells, TableColumn.URGENCY, urgency);
        putIfGiven(cells, TableColumn.RUNNING, running);
        putIfGiven(cells, TableColumn.QUEUED, queued);
        putIfGiven(cells, TableColumn.STARTS_PER_SECOND, startsPerSecond);
        putIfGiven(cells, TableColumn.TASK_TIMEOUT, taskTimeoutMilliseconds);
        return cells;
    }

    /**
     * Returns whether a limit of 0, which stops the kind or team, is intended.
     *
     * @return true if so
     */
    public boolean isExplicitZero() {
        return explicitZero;
    }

    /**
     * Returns the version that the row must have.
     *
     * @return the version, or empty for the current one
     */
    public OptionalLong expectedVersion() {
        return expectedVersion == null ? OptionalLong.empty() : OptionalLong.of(expectedVersion);
    }

    /**
     * Returns whether the row is to be deleted.
     *
     * @return true if so
     */
    public boolean isDeletion() {
        return delete;
    }

    private static void putIfGiven(Map<TableColumn, String> cells, TableColumn column, String value) {
        if (value != null) {
            cells.put(column, value);
        }
    }
}
