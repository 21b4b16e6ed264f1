package io.caperturn.store;

import java.util.List;
import java.util.Objects;

/** Result of a call to the platform's store. */
public sealed interface StoreResult {
    /**
     * The transaction was committed.
     *
     * @param rows the rows read, in the order requested
     */
    record Committed(List<StoreRow> rows) implements StoreResult {
        /** Copies the rows. */
        public Committed {
            rows = List.copyOf(rows);
        }
    }

    /**
     * The condition of at least one write did not hold; nothing was written.
     *
     * @param rows the current state of every row that the transaction would have written
     */
    record Conflict(List<StoreRow> rows) implements StoreResult {
        /** Copies the rows. */
        public Conflict {
            rows = List.copyOf(rows);
        }
    }

    /**
     * The store refused the call or could not be reached; nothing was written and nothing will be.
     *
     * @param detail one-line description for people
     */
    record Unavailable(String detail) implements StoreResult {
        /** Checks that the detail is not null. */
        public Unavailable {
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * The store refused the transaction because of its limit on writes; nothing was written. Fewer, larger transactions
     * may succeed.
     *
     * @param detail one-line description for people
     */
    record RateLimited(String detail) implements StoreResult {
        /** Checks that the detail is not null. */
        public RateLimited {
            Objects.requireNonNull(detail, "detail");
        }
    }

    /**
     * The reply was lost; the writes may have taken effect or may still take effect.
     *
     * @param detail one-line description for people
     */
    record Unknown(String detail) implements StoreResult {
        /** Checks that the detail is not null. */
        public Unknown {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
