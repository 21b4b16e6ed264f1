package io.caperturn.entry.table;

import io.caperturn.store.table.TableChange;
import java.util.List;
import java.util.Objects;

/** Result of parsing a change of the operators' table of weights and limits. */
sealed interface ChangeParseResult {
    /**
     * The change is valid.
     *
     * @param change the change
     * @param dryRun whether the change is only to be checked, not applied
     */
    record Valid(TableChange change, boolean dryRun) implements ChangeParseResult {
        /** Rejects a null change. */
        public Valid {
            Objects.requireNonNull(change, "change");
        }
    }

    /**
     * Rows of the change have errors.
     *
     * @param errors the errors, at least one
     */
    record InvalidRows(List<RowError> errors) implements ChangeParseResult {
        /** Copies the errors. */
        public InvalidRows {
            errors = List.copyOf(errors);
        }
    }

    /**
     * The body is not a well-formed change.
     *
     * @param detail one line that describes the error
     */
    record Malformed(String detail) implements ChangeParseResult {
        /** Rejects a null detail. */
        public Malformed {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
