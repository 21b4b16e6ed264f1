package io.caperturn.store.table;

import io.caperturn.store.RowKey;
import java.time.Instant;
import java.util.List;
import java.util.Objects;

/** What a call for the history of edits gave. */
public sealed interface ChangeHistory {
    /**
     * The newest changes.
     *
     * @param changes the changes, newest first
     */
    record Changes(List<Change> changes) implements ChangeHistory {
        /** Copies the changes. */
        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /**
     * The store does not answer.
     *
     * @param detail one line for people
     */
    record Unavailable(String detail) implements ChangeHistory {
        /** Checks that the detail is present. */
        public Unavailable {
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * One change that was accepted.
     *
     * @param tableVersion the version of the whole table that it made
     * @param changeId its identity
     * @param author who made it
     * @param at when it was made, by the clock of the entry that carried it out
     * @param rows the rows that it wrote or deleted
     */
    record Change(long tableVersion, String changeId, String author, Instant at, List<RowKey> rows) {
        /** Copies the rows. */
        public Change {
            rows = List.copyOf(rows);
        }
    }
}
