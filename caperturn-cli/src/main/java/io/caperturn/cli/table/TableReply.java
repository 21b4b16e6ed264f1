package io.caperturn.cli.table;

import java.util.List;

/** What an entry says to a call on the table. */
public sealed interface TableReply {
    /**
     * The whole table.
     *
     * @param rows the table
     */
    record Table(TableRows rows) implements TableReply {}

    /**
     * The newest changes.
     *
     * @param changes the changes, newest first
     */
    record History(List<Change> changes) implements TableReply {}

    /**
     * The change is accepted, or would be.
     *
     * @param version the version of the whole table that it makes
     */
    record Accepted(long version) implements TableReply {}

    /**
     * Rows are not at the expected versions; nothing was changed.
     *
     * @param rows the rows in force
     */
    record Conflict(List<RowInForce> rows) implements TableReply {}

    /**
     * The change is wrong; nothing was changed.
     *
     * @param mistakes every mistake
     */
    record Wrong(List<TableMistake> mistakes) implements TableReply {}

    /**
     * No entry could serve the call; nothing was changed.
     *
     * @param detail one line for people
     */
    record Refused(String detail) implements TableReply {}

    /**
     * Whether the change took effect is not known; the same change identity tells.
     *
     * @param detail one line for people
     */
    record Unknown(String detail) implements TableReply {}

    /**
     * A change that was accepted.
     *
     * @param version the version of the whole table that it made
     * @param at when, ISO 8601
     * @param author who made it
     * @param changeId its identity
     * @param rows the names of its rows
     */
    record Change(long version, String at, String author, String changeId, List<String> rows) {}

    /**
     * A row as the store has it.
     *
     * @param name its name, {@code kinds/name} or {@code teams/name}
     * @param version its version, 0 if there is none
     * @param values its values in one line
     */
    record RowInForce(String name, long version, String values) {}
}
