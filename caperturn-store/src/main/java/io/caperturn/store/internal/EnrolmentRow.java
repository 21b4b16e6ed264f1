package io.caperturn.store.internal;

import io.caperturn.core.model.ProcessId;
import io.caperturn.store.RowKey;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Value of a row in the store's table {@code enrolments}: the sidecar processes that an entry may send claimed work to.
 *
 * <p>An entry accepts submissions and claims them in the store; a sidecar passes tasks of claimed submissions to the
 * upstream beside it. An incarnation is one run of a process.
 *
 * @param sidecars the sidecar incarnations that this incarnation of the entry can have sent claimed work to
 * @param closed true once another entry has begun to adopt the entry's claims; the row never changes after that
 */
public record EnrolmentRow(List<StoredProcessId> sidecars, boolean closed) {
    private static final String TABLE = "enrolments";

    /** Copies the sidecars. */
    public EnrolmentRow {
        sidecars = List.copyOf(sidecars);
    }

    /**
     * Creates the value of a row.
     *
     * @param sidecars the sidecars
     * @param closed whether the row is closed
     * @return the value, with the sidecars sorted by name and incarnation
     */
    public static EnrolmentRow of(Set<ProcessId> sidecars, boolean closed) {
        List<StoredProcessId> values = sidecars.stream()
                .sorted(Comparator.comparing(ProcessId::name).thenComparingLong(ProcessId::incarnation))
                .map(StoredProcessId::of)
                .toList();
        return new EnrolmentRow(values, closed);
    }

    /**
     * Returns the key of an entry incarnation's row.
     *
     * @param entry the identity of the entry's process
     * @return the key
     */
    public static RowKey keyOf(ProcessId entry) {
        return new RowKey(TABLE, entry.name() + "@" + Long.toHexString(entry.incarnation()));
    }

    /**
     * Returns the sidecars' identities.
     *
     * @return the identities
     */
    public Set<ProcessId> sidecarIds() {
        return sidecars.stream().map(StoredProcessId::toProcessId).collect(Collectors.toUnmodifiableSet());
    }
}
