package io.caperturn.store.table;

import io.caperturn.store.StoreRow;
import java.util.List;
import java.util.Objects;

/** Result of applying or checking a change to the operators' table of weights and limits. */
public sealed interface EditResult {
    /**
     * The change is committed in the store, or would be if it was only checked.
     *
     * @param tableVersion the version of the whole table that the change produced
     * @param rows the rows after the change; empty if the change is a repeat of an earlier one or was only checked
     */
    record Accepted(long tableVersion, List<StoreRow> rows) implements EditResult {
        /** Copies the rows. */
        public Accepted {
            rows = List.copyOf(rows);
        }
    }

    /**
     * A row's version was not the expected one; nothing was changed.
     *
     * @param currentRows the conflicting rows as they are in the store
     */
    record Conflict(List<StoreRow> currentRows) implements EditResult {
        /** Copies the rows. */
        public Conflict {
            currentRows = List.copyOf(currentRows);
        }
    }

    /**
     * The change is not valid; nothing was changed.
     *
     * @param detail one-line description for people
     */
    record Invalid(String detail) implements EditResult {
        /** Checks that the detail is not null. */
        public Invalid {
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * The store refused the change or could not be reached; nothing was changed.
     *
     * @param detail one-line description for people
     */
    record Unavailable(String detail) implements EditResult {
        /** Checks that the detail is not null. */
        public Unavailable {
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * The store's reply was lost, and whether the change took effect could not be found out; the same change may be
     * retried with the same identifier.
     *
     * @param detail one-line description for people
     */
    record Unknown(String detail) implements EditResult {
        /** Checks that the detail is not null. */
        public Unknown {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
