package io.caperturn.entry.table;

import io.caperturn.store.table.TableChange;
import java.util.List;
import java.util.Objects;

/** What came of reading a change that an operator sent. */
sealed interface ChangeParseResult {
    /**
     * The change is well formed.
     *
     * @param change the change
     * @param dryRun whether it is only to be checked
     */
    record Valid(TableChange change, boolean dryRun) implements ChangeParseResult {
        /** Checks that the change is present. */
        public Valid {
            Objects.requireNonNull(change, "change");
        }
    }

    /**
     * Rows have mistakes.
     *
     * @param errors the mistakes, at least one
     */
    record InvalidRows(List<RowError> errors) implements ChangeParseResult {
        /** Copies the mistakes. */
        public InvalidRows {
            errors = List.copyOf(errors);
        }
    }

    /**
     * The body does not have the shape of a change.
     *
     * @param detail one line for people
     */
    record Malformed(String detail) implements ChangeParseResult {
        /** Checks that the detail is present. */
        public Malformed {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
