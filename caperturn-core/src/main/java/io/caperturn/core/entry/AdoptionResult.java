package io.caperturn.core.entry;

import io.caperturn.core.model.ProcessId;
import java.time.Instant;
import java.util.Objects;
import java.util.Set;

/**
 * Result of adopting a submission: of replacing the claim of an owner that can't be reached by a claim of this entry.
 *
 * <p>A claim is the durable record that makes one entry (a process that accepts submissions) the owner of a submission.
 */
public sealed interface AdoptionResult {
    /**
     * The claim now belongs to this incarnation (run of the process).
     *
     * @param fence the fencing token, higher than that of every earlier owner
     * @param claimedAt the time at which the first owner claimed the submission
     * @param sidecars every incarnation of a sidecar (the process beside an upstream that starts tasks there) to which
     *     the earlier owner could have dispatched tasks of the submission
     */
    record Adopted(long fence, Instant claimedAt, Set<ProcessId> sidecars) implements AdoptionResult {
        /** Copies the sidecars. */
        public Adopted {
            Objects.requireNonNull(claimedAt, "claimedAt");
            sidecars = Set.copyOf(sidecars);
        }
    }

    /**
     * The claim was not replaced, or the sidecars to which the earlier owner could have dispatched are not known.
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
