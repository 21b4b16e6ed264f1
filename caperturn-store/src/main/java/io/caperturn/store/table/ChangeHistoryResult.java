package io.caperturn.store.table;

import io.caperturn.store.RowKey;
import java.time.Instant;
import java.util.List;
import java.util.Objects;

/** Result of reading the history of changes to the operators' table of weights and limits. */
public sealed interface ChangeHistoryResult {
    /**
     * The newest changes.
     *
     * @param changes the changes, newest first
     */
    record Changes(List<Change> changes) implements ChangeHistoryResult {
        /** Copies the changes. */
        public Changes {
            changes = List.copyOf(changes);
        }
    }

    /**
     * The store does not answer.
     *
     * @param detail one-line description for people
     */
    record Unavailable(String detail) implements ChangeHistoryResult {
        /** Checks that the detail is not null. */
        public Unavailable {
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * One change that was accepted.
     *
     * @param tableVersion the version of the whole table that the change produced
     * @param changeId the change's identifier
     * @param author the author of the change
     * @param at the time of the change, by the clock of the process that applied it
     * @param rows the keys of the rows that the change wrote or deleted
     */
    record Change(long tableVersion, String changeId, String author, Instant at, List<RowKey> rows) {
        /** Copies the rows. */
        public Change {
            rows = List.copyOf(rows);
        }
    }
}
