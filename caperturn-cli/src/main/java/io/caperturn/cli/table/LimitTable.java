package io.caperturn.cli.table;

import java.util.Collection;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Table of weights and limits of kinds (types of task) and teams, at one version.
 *
 * @param version the version of the whole table
 * @param rows the rows by name, those of kinds first
 */
public record LimitTable(long version, SortedMap<RowName, LimitTableRow> rows) {
    /** Copies the rows. */
    public LimitTable {
        rows = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(rows));
    }

    /**
     * Creates a table from its rows.
     *
     * @param version the version of the whole table
     * @param rows the rows, with distinct names
     * @return the table
     */
    public static LimitTable of(long version, Collection<LimitTableRow> rows) {
        SortedMap<RowName, LimitTableRow> byName = new TreeMap<>();
        rows.forEach(row -> byName.put(row.name(), row));
        return new LimitTable(version, byName);
    }

    /**
     * Finds a row.
     *
     * @param name the name of the row
     * @return the row, or empty if there is none
     */
    public Optional<LimitTableRow> find(RowName name) {
        return Optional.ofNullable(rows.get(name));
    }
}
