package io.caperturn.cli.table;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Row of the operators' table of weights and limits, as given in options or a file and not checked yet.
 *
 * @param place the position for messages: the row's identity, with the line of its file if it has one
 * @param identity the identity of the row
 * @param cells the values by column; an absent column is an empty cell
 * @param explicitZero whether the operator confirms a limit of 0, which stops the kind of task or the team
 * @param expectedVersion the version that the row is expected to have, or empty for the current one
 */
public record UncheckedRow(
        String place,
        RowIdentity identity,
        Map<TableColumn, String> cells,
        boolean explicitZero,
        OptionalLong expectedVersion) {
    /** Copies the cells. */
    public UncheckedRow {
        Objects.requireNonNull(place, "place");
        Objects.requireNonNull(identity, "name");
        Objects.requireNonNull(expectedVersion, "expectedVersion");
        cells = Map.copyOf(cells);
    }

    /**
     * Returns the value of a cell.
     *
     * @param column the column
     * @return the value without surrounding blanks, empty if the cell is absent
     */
    public String text(TableColumn column) {
        return cells.getOrDefault(column, "").trim();
    }
}
