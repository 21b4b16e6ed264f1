package io.caperturn.core.entry;

import io.caperturn.core.model.ProcessId;
import java.time.Instant;
import java.util.Objects;
import java.util.Set;

/** What came of an attempt to adopt the claim of an owner that is gone. */
public sealed interface AdoptionResult {
    /**
     * The claim belongs to this incarnation now.
     *
     * @param fence the fence number, above that of every earlier owner
     * @param claimedAt when the submission was claimed first
     * @param sidecars every sidecar incarnation that the earlier owner could have used
     */
    record Adopted(long fence, Instant claimedAt, Set<ProcessId> sidecars) implements AdoptionResult {
        /** Copies the sidecars. */
        public Adopted {
            Objects.requireNonNull(claimedAt, "claimedAt");
            sidecars = Set.copyOf(sidecars);
        }
    }

    /**
     * The claim was not adopted, or not everything that its owner could have used is known.
     *
     * @param detail one line for people
     */
    record Failed(String detail) implements AdoptionResult {
        /** Checks that the detail is present. */
        public Failed {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
