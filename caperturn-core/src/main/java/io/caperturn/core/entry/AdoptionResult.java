package io.caperturn.core.entry;

import io.caperturn.core.model.ProcessId;
import java.time.Instant;
import java.util.Objects;
import java.util.Set;

/** Result of an attempt to take over the claim (the durable record of a submission's owner) of a lost entry. */
public sealed interface AdoptionResult {
    /**
     * The claim now belongs to this incarnation.
     *
     * @param fence the fencing token, higher than that of every earlier owner
     * @param claimedAt the time at which the submission was first claimed
     * @param sidecars every sidecar incarnation to which the earlier owner could have dispatched
     */
    record Adopted(long fence, Instant claimedAt, Set<ProcessId> sidecars) implements AdoptionResult {
        /** Copies the sidecars. */
        public Adopted {
            Objects.requireNonNull(claimedAt, "claimedAt");
            sidecars = Set.copyOf(sidecars);
        }
    }

    /**
     * The claim was not taken over, or the set of sidecars that its owner could have dispatched to is incomplete.
     *
     * @param detail a human-readable explanation in one line
     */
    record Failed(String detail) implements AdoptionResult {
        /** Checks that the detail is present. */
        public Failed {
            Objects.requireNonNull(detail, "detail");
        }
    }
}
