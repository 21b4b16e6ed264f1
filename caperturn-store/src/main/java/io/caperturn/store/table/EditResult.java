package io.caperturn.store.table;

import io.caperturn.store.Row;
import java.util.List;
import java.util.Objects;

/** What is known after a change to the table was tried. */
public sealed interface EditResult {
    /**
     * The change is committed in the store.
     *
     * @param tableVersion the version of the whole table that it made
     * @param rows the rows as the change left them; empty for a repeat of an earlier change and for a mere check
     */
    record Accepted(long tableVersion, List<Row> rows) implements EditResult {
        /** Copies the rows. */
        public Accepted {
            rows = List.copyOf(rows);
        }
    }

    /**
     * A row's version was not the expected one; nothing was changed.
     *
     * @param rowsInForce the rows that differ, as they are in the store
     */
    record Conflict(List<Row> rowsInForce) implements EditResult {
        /** Copies the rows. */
        public Conflict {
            rowsInForce = List.copyOf(rowsInForce);
        }
    }

    /**
     * The change can't be carried out as it stands; nothing was changed.
     *
     * @param detail one line for people
     */
    record Invalid(String detail) implements EditResult {
        /** Checks that the detail is present. */
        public Invalid {
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * The store refused or was not reached; nothing was changed.
     *
     * @param detail one line for people
     */
    record Unavailable(String detail) implements EditResult {
        /** Checks that the detail is present. */
        public Unavailable {
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * The store's reply was lost and could not be settled; the same change with the same identity may be tried again.
     *
     * @param detail one line for people
     */
    record Unknown(String detail) implements EditResult {
        /** Checks that the detail is present. */
        public Unknown {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
