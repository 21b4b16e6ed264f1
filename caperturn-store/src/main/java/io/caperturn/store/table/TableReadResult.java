package io.caperturn.store.table;

import io.caperturn.core.model.Table;
import java.util.Objects;

/** Result of reading the operators' table from the store. */
public sealed interface TableReadResult {
    /**
     * The table at one version.
     *
     * @param table the table
     */
    record Read(Table table) implements TableReadResult {
        /** Checks that the table is not null. */
        public Read {
            Objects.requireNonNull(table, "table");
        }
    }

    /**
     * The store does not answer, or edits kept changing the version during the read.
     *
     * @param detail one-line description for people
     */
    record Unavailable(String detail) implements TableReadResult {
        /** Checks that the detail is not null. */
        public Unavailable {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
