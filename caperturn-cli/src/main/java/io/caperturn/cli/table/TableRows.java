package io.caperturn.cli.table;

import java.util.Collection;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The table at one version.
 *
 * @param version the version of the whole
 * @param rows its rows by name, kinds first
 */
public record TableRows(long version, SortedMap<RowName, TableRow> rows) {
    /** Copies the rows. */
    public TableRows {
        rows = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(rows));
    }

    /**
     * Collects rows.
     *
     * @param version the version of the whole
     * @param rows the rows, each name once
     * @return the table
     */
    public static TableRows of(long version, Collection<TableRow> rows) {
        SortedMap<RowName, TableRow> byName = new TreeMap<>();
        rows.forEach(row -> byName.put(row.name(), row));
        return new TableRows(version, byName);
    }

    /**
     * Finds a row.
     *
     * @param name its name
     * @return the row, or empty if there is none
     */
    public Optional<TableRow> find(RowName name) {
        return Optional.ofNullable(rows.get(name));
    }
}
