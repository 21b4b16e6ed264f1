package io.caperturn.store.registry;

import io.caperturn.core.model.ProcessId;
import io.caperturn.store.PlatformStore;
import io.caperturn.store.RowKey;
import io.caperturn.store.StoreResult;
import io.caperturn.store.StoreRow;
import io.caperturn.store.Transaction;
import io.caperturn.store.Write;
import io.caperturn.store.internal.EnrolmentRow;
import io.caperturn.store.internal.StoreJson;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * Access to the enrolment records in the store, each of which lists the sidecar processes that one incarnation of an
 * entry may send claimed work to.
 *
 * <p>An entry accepts submissions and claims them in the store; a sidecar passes tasks to the upstream beside it. An
 * incarnation is one run of a process. An entry enrols a sidecar before it first sends claimed work to it. An entry
 * that adopts the claims of a lost entry closes that entry's record first, and then knows every sidecar that must
 * refuse the lost entry's work from then on. Methods block and may be called from any thread.
 */
public final class EnrolmentRepository {
    private static final int MAXIMUM_ATTEMPTS = 5;

    private final PlatformStore store;

    /**
     * Creates an enrolment repository.
     *
     * @param store the platform's store
     */
    public EnrolmentRepository(PlatformStore store) {
        this.store = Objects.requireNonNull(store, "store");
    }

    /**
     * Records the sidecars that an entry may send claimed work to.
     *
     * @param entry the identity of the entry's process
     * @param sidecars all sidecars of the entry, including those recorded before
     * @return the recorded sidecars, the closed record, or the failure
     */
    public EnrolmentResult enrol(ProcessId entry, Set<ProcessId> sidecars) {
        return update(entry, EnrolmentRow.of(sidecars, /* closed= */ false));
    }

    /**
     * Closes the record of an entry that is considered lost.
     *
     * @param entry the identity of the entry's process
     * @return the closed record, or the failure
     */
    public EnrolmentResult close(ProcessId entry) {
        return update(entry, EnrolmentRow.of(Set.of(), /* closed= */ true));
    }

    private EnrolmentResult update(ProcessId entry, EnrolmentRow requestedRow) {
        RowKey key = EnrolmentRow.keyOf(entry);
        String detail = "the record kept changing";
        for (int attempts = 0; attempts < MAXIMUM_ATTEMPTS; attempts++) {
            if (!(store.transact(new Transaction(List.of(key), /* writes= */ List.of()))
                    instanceof StoreResult.Committed(List<StoreRow> rows))) {
                return new EnrolmentResult.Failed("the store does not answer");
            }
            StoreRow row = rows.getFirst();
            Optional<EnrolmentRow> current = row.value().flatMap(text -> StoreJson.read(text, EnrolmentRow.class));
            if (row.value().isPresent() && current.isEmpty()) {
                return new EnrolmentResult.Failed("the enrolment record of " + entry + " is not readable");
            }
            if (current.isPresent() && current.get().closed()) {
                return new EnrolmentResult.Closed(current.get().sidecarIds());
            }
            Set<ProcessId> recordedSidecars =
                    current.map(EnrolmentRow::sidecarIds).orElse(Set.of());
            // Closing keeps the sidecars recorded so far, whereas enrolling replaces them.
            EnrolmentRow next =
                    requestedRow.closed() ? EnrolmentRow.of(recordedSidecars, /* closed= */ true) : requestedRow;
            if (current.filter(next::equals).isPresent()) {
                return new EnrolmentResult.Enrolled(next.sidecarIds());
            }
            Write write = new Write(key, row.version(), Optional.of(StoreJson.write(next)));
            switch (store.transact(new Transaction(/* reads= */ List.of(), List.of(write)))) {
                case StoreResult.Committed ignored -> {
                    return next.closed()
                            ? new EnrolmentResult.Closed(next.sidecarIds())
                            : new EnrolmentResult.Enrolled(next.sidecarIds());
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
