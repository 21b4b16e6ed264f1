package io.caperturn.cli.table;

import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;

/**
 * Row as an operator wrote it, not yet checked.
 *
 * @param place where it was written, for people
 * @param name the row's name
 * @param cells the texts by column; an absent column stands for an empty cell
 * @param explicitZero whether the operator says that a limit of 0 is meant
 * @param expectedVersion the version that the row is expected to have, or empty for the one in force
 */
public record RowCells(
        String place, RowName name, Map<Column, String> cells, boolean explicitZero, OptionalLong expectedVersion) {
    /** Copies the cells. */
    public RowCells {
        Objects.requireNonNull(place, "place");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(expectedVersion, "expectedVersion");
        cells = Map.copyOf(cells);
    }

    /**
     * Returns the text of a cell.
     *
     * @param column the column
     * @return the text without surrounding blanks, empty if the cell is absent
     */
    public String text(Column column) {
        return cells.getOrDefault(column, "").trim();
    }
}
