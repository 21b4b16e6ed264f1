package io.caperturn.store.registry;

import io.caperturn.core.model.ProcessId;
import java.util.Objects;
import java.util.Set;

/**
 * Result of a call to the {@link EnrolmentRepository}, which records the sidecar processes that an entry process may
 * send work to.
 *
 * <p>An entry claims submissions in the store and sends their tasks, the claimed work, to sidecars.
 */
public sealed interface EnrolmentResult {
    /**
     * The sidecars are recorded; the entry is allowed to send them claimed work.
     *
     * @param sidecars the recorded sidecars
     */
    record Enrolled(Set<ProcessId> sidecars) implements EnrolmentResult {
        /** Copies the sidecars. */
        public Enrolled {
            sidecars = Set.copyOf(sidecars);
        }
    }

    /**
     * The record is closed because its entry was considered lost; no sidecar can be added to it any more.
     *
     * @param sidecars every sidecar that the entry can have sent claimed work to
     */
    record Closed(Set<ProcessId> sidecars) implements EnrolmentResult {
        /** Copies the sidecars. */
        public Closed {
            sidecars = Set.copyOf(sidecars);
        }
    }

    /**
     * The store did not confirm the call; it may or may not have taken effect.
     *
     * @param detail one-line description for people
     */
    record Failed(String detail) implements EnrolmentResult {
        /** Checks that the detail is not null. */
        public Failed {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
