package io.caperturn.entry.table;

import io.caperturn.store.table.TableChange;
import java.util.List;
import java.util.Objects;

/** What came of reading a change that an operator sent. */
sealed interface ChangeReading {
    /**
     * The change is well formed.
     *
     * @param change the change
     * @param dryRun whether it is only to be checked
     */
    record Valid(TableChange change, boolean dryRun) implements ChangeReading {
        /** Checks that the change is present. */
        public Valid {
            Objects.requireNonNull(change, "change");
        }
    }

    /**
     * Rows have mistakes.
     *
     * @param mistakes the mistakes, at least one
     */
    record Wrong(List<RowMistake> mistakes) implements ChangeReading {
        /** Copies the mistakes. */
        public Wrong {
            mistakes = List.copyOf(mistakes);
        }
    }

    /**
     * The body does not have the shape of a change.
     *
     * @param detail one line for people
     */
    record Malformed(String detail) implements ChangeReading {
        /** Checks that the detail is present. */
        public Malformed {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
