package io.caperturn.store.registry;

import io.caperturn.core.model.ProcessId;
import java.util.Objects;
import java.util.Set;

/** What a call to the {@link EnrolmentStore} gave. */
public sealed interface EnrolmentResult {
    /**
     * The sidecars are on record; the entry may send them claimed work.
     *
     * @param sidecars the sidecars on record
     */
    record Enrolled(Set<ProcessId> sidecars) implements EnrolmentResult {
        /** Copies the sidecars. */
        public Enrolled {
            sidecars = Set.copyOf(sidecars);
        }
    }

    /**
     * The record is closed: its entry was taken for lost, and no sidecar is ever added to it.
     *
     * @param sidecars every sidecar that the entry could have sent claimed work to
     */
    record Closed(Set<ProcessId> sidecars) implements EnrolmentResult {
        /** Copies the sidecars. */
        public Closed {
            sidecars = Set.copyOf(sidecars);
        }
    }

    /**
     * The store did not settle the call; it may or may not have taken effect.
     *
     * @param detail one line for people
     */
    record Failed(String detail) implements EnrolmentResult {
        /** Checks that the detail is present. */
        public Failed {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
