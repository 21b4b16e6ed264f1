package io.caperturn.store.table;

import io.caperturn.core.model.Table;
import java.util.Objects;

/** What a call for the table in the store gave. */
public sealed interface TableReading {
    /**
     * The table at one version.
     *
     * @param table the table
     */
    record Read(Table table) implements TableReading {
        /** Checks that the table is present. */
        public Read {
            Objects.requireNonNull(table, "table");
        }
    }

    /**
     * The store does not answer, or edits kept moving the version.
     *
     * @param detail one line for people
     */
    record Unavailable(String detail) implements TableReading {
        /** Checks that the detail is present. */
        public Unavailable {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
