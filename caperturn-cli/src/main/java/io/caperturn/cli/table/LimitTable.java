package io.caperturn.cli.table;

import java.util.Collection;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Operators' table of weights and limits, whose rows are kinds (named classes of work) and teams.
 *
 * @param version the version of the whole table, as opposed to those of its rows
 * @param rows the rows by identity, those of kinds first
 */
public record LimitTable(long version, SortedMap<RowIdentity, LimitTableRow> rows) {
    /** Copies the rows. */
    public LimitTable {
        rows = java.util.Collections.unmodifiableSortedMap(new TreeMap<>(rows));
    }

    /**
     * Creates a table from its rows.
     *
     * @param version the version of the whole table
     * @param rows the rows, with distinct identities
     * @return the table
     */
    public static LimitTable of(long version, Collection<LimitTableRow> rows) {
        SortedMap<RowIdentity, LimitTableRow> byIdentity = new TreeMap<>();
        rows.forEach(row -> byIdentity.put(row.identity(), row));
        return new LimitTable(version, byIdentity);
    }

    /**
     * Finds a row.
     *
     * @param identity the identity of the row
     * @return the row, or empty if there is none
     */
    public Optional<LimitTableRow> find(RowIdentity identity) {
        return Optional.ofNullable(rows.get(identity));
    }
}
