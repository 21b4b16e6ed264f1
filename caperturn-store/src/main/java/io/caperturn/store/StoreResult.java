package io.caperturn.store;

import java.util.List;
import java.util.Objects;

/** What is known after a call to the platform's store. */
public sealed interface StoreResult {
    /**
     * The transaction took effect.
     *
     * @param rows the rows read, in the order asked for
     */
    record Committed(List<Row> rows) implements StoreResult {
        /** Copies the rows. */
        public Committed {
            rows = List.copyOf(rows);
        }
    }

    /**
     * A condition did not hold; nothing was written.
     *
     * @param rows the current state of every row that the transaction would have written
     */
    record Conflict(List<Row> rows) implements StoreResult {
        /** Copies the rows. */
        public Conflict {
            rows = List.copyOf(rows);
        }
    }

    /**
     * The store refused or was not reached; nothing was written and nothing will be.
     *
     * @param detail one line for people
     */
    record Unavailable(String detail) implements StoreResult {
        /** Checks that the detail is present. */
        public Unavailable {
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * The store refused because of too many writes; nothing was written, and fewer or larger transactions may pass.
     *
     * @param detail one line for people
     */
    record Limited(String detail) implements StoreResult {
        /** Checks that the detail is present. */
        public Limited {
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * The reply was lost; the writes may have taken effect, or may yet.
     *
     * @param detail one line for people
     */
    record Unknown(String detail) implements StoreResult {
        /** Checks that the detail is present. */
        public Unknown {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
