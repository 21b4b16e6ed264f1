package io.caperturn.cli.table;

import java.util.List;

/** Result of calling entries (processes that accept submissions) to read or change the table of weights and limits. */
public sealed interface TableResult {
    /**
     * The whole table was read.
     *
     * @param table the table
     */
    record FetchedTable(LimitTable table) implements TableResult {}

    /**
     * The newest changes were read.
     *
     * @param changes the changes, newest first
     */
    record FetchedHistory(List<Change> changes) implements TableResult {}

    /**
     * The change was accepted, or in a dry run would be accepted.
     *
     * @param version the version of the whole table with the change
     */
    record Accepted(long version) implements TableResult {}

    /**
     * Rows are not at the expected versions; nothing was changed.
     *
     * @param rows the rows that differ, as they are stored
     */
    record Conflict(List<StoredRow> rows) implements TableResult {}

    /**
     * The change has mistakes; nothing was changed.
     *
     * @param mistakes every mistake
     */
    record Invalid(List<TableMistake> mistakes) implements TableResult {}

    /**
     * No entry executed the call; nothing was changed.
     *
     * @param detail a description of the failures in one line
     */
    record Refused(String detail) implements TableResult {}

    /**
     * It is unknown whether an entry executed the call; a retry with the same change identity gives the outcome.
     *
     * @param detail a description of the failures in one line
     */
    record Unknown(String detail) implements TableResult {}

    /**
     * Accepted change.
     *
     * @param version the version of the whole table that the change made
     * @param at the time of the change, ISO 8601
     * @param author the author of the change
     * @param changeId the identity of the change
     * @param rows the changed rows, {@code kinds/name} or {@code teams/name}
     */
    record Change(long version, String at, String author, String changeId, List<String> rows) {}

    /**
     * Row of the table as it is stored.
     *
     * @param name the row, {@code kinds/name} or {@code teams/name}
     * @param version the version, 0 if there is no such row
     * @param values the values in one line
     */
    record StoredRow(String name, long version, String values) {}
}
