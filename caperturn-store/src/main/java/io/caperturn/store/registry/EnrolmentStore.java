package io.caperturn.store.registry;

import io.caperturn.core.model.ProcessId;
import io.caperturn.store.PlatformStore;
import io.caperturn.store.Row;
import io.caperturn.store.RowKey;
import io.caperturn.store.StoreResult;
import io.caperturn.store.Transaction;
import io.caperturn.store.Write;
import io.caperturn.store.internal.EnrolmentRow;
import io.caperturn.store.internal.StoreJson;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Record of the sidecars that each entry incarnation may send claimed work to.
 *
 * <p>An entry enrols a sidecar before it first sends claimed work there. Whoever adopts its claims closes the record
 * first, and then knows every sidecar that must be fenced. Calls block and may come from any thread.
 */
public final class EnrolmentStore {
    private static final int MAXIMUM_TRIES = 5;

    private final PlatformStore store;

    /**
     * Creates the access to the record.
     *
     * @param store the store
     */
    public EnrolmentStore(PlatformStore store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Puts sidecars on record.
     *
     * @param entry the entry, by incarnation
     * @param sidecars all its sidecars, those on record before included
     * @return whether they are on record
     */
    public EnrolmentResult enrol(ProcessId entry, Set<ProcessId> sidecars) {
        return replace(entry, EnrolmentRow.of(sidecars, false));
    }

    /**
     * Closes the record of an entry that is taken for lost.
     *
     * @param entry the entry, by incarnation
     * @return the closed record, or why it could not be closed
     */
    public EnrolmentResult close(ProcessId entry) {
        return replace(entry, EnrolmentRow.of(Set.of(), true));
    }

    private EnrolmentResult replace(ProcessId entry, EnrolmentRow wanted) {
        RowKey key = EnrolmentRow.keyOf(entry);
        String detail = "the record kept changing";
        for (int tries = 0; tries < MAXIMUM_TRIES; tries++) {
            if (!(store.transact(new Transaction(List.of(key), List.of()))
                    instanceof StoreResult.Committed(List<Row> rows))) {
                return new EnrolmentResult.Failed("the store does not answer");
            }
            Row row = rows.getFirst();
            Optional<EnrolmentRow> held = row.value().flatMap(text -> StoreJson.read(text, EnrolmentRow.class));
            if (row.value().isPresent() && held.isEmpty()) {
                return new EnrolmentResult.Failed("the record of " + entry + " is not readable");
            }
            if (held.isPresent() && held.get().closed()) {
                return new EnrolmentResult.Closed(held.get().processes());
            }
            Set<ProcessId> known = held.map(EnrolmentRow::processes).orElse(Set.of());
            EnrolmentRow next = wanted.closed() ? EnrolmentRow.of(known, true) : wanted;
            if (held.filter(next::equals).isPresent()) {
                return new EnrolmentResult.Enrolled(next.processes());
            }
            Write write = new Write(key, row.version(), Optional.of(StoreJson.write(next)));
            switch (store.transact(new Transaction(List.of(), List.of(write)))) {
                case StoreResult.Committed ignored -> {
                    return next.closed()
                            ? new EnrolmentResult.Closed(next.processes())
                            : new EnrolmentResult.Enrolled(next.processes());
                }
                case StoreResult.Conflict ignored -> detail = "the record kept changing";
                case StoreResult.Unavailable(String reason) -> {
                    return new EnrolmentResult.Failed(reason);
                }
                case StoreResult.RateLimited(String reason) -> {
                    return new EnrolmentResult.Failed(reason);
                }
                case StoreResult.Unknown(String reason) -> detail = reason;
            }
        }
        return new EnrolmentResult.Failed(detail);
    }
}
