package io.caperturn.store.internal;

import io.caperturn.core.model.ProcessId;
import io.caperturn.store.RowKey;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Value of a row of the table {@code enrolments}.
 *
 * @param sidecars every sidecar incarnation that the entry incarnation may have sent claimed work to
 * @param closed true once another entry began to adopt its claims; the row then never changes again
 */
public record EnrolmentRow(List<ProcessValue> sidecars, boolean closed) {
    private static final String TABLE = "enrolments";

    /** Copies the sidecars. */
    public EnrolmentRow {
        sidecars = List.copyOf(sidecars);
    }

    /**
     * Creates a row's value.
     *
     * @param sidecars the sidecars
     * @param closed whether the row is closed
     * @return the value, with the sidecars in a fixed order
     */
    public static EnrolmentRow of(Set<ProcessId> sidecars, boolean closed) {
        List<ProcessValue> values = sidecars.stream()
                .sorted(Comparator.comparing(ProcessId::name).thenComparingLong(ProcessId::incarnation))
                .map(ProcessValue::of)
                .toList();
        return new EnrolmentRow(values, closed);
    }

    /**
     * Returns the place of an entry incarnation's row.
     *
     * @param entry the entry, by incarnation
     * @return the place
     */
    public static RowKey keyOf(ProcessId entry) {
        return new RowKey(TABLE, entry.name() + "@" + Long.toHexString(entry.incarnation()));
    }

    /**
     * Returns the sidecars' identities.
     *
     * @return the identities
     */
    public Set<ProcessId> processes() {
        return sidecars.stream().map(ProcessValue::toProcess).collect(Collectors.toUnmodifiableSet());
    }
}
