package io.caperturn.core.entry;

import io.caperturn.core.model.ProcessId;
import java.time.Instant;
import java.util.Objects;

/**
 * Result of a request to claim a submission.
 *
 * <p>A claim is the durable record in the platform's store that makes one entry (a process that accepts submissions)
 * the owner of a submission.
 */
public sealed interface ClaimResult {
    /**
     * The claim is durable and belongs to this incarnation (run of the process).
     *
     * @param fence the fencing token of the claim, which the attempts of the submission carry
     * @param request the number of the claim request, counted within this incarnation, that wrote the claim
     */
    record Granted(long fence, long request) implements ClaimResult {}

    /**
     * Another incarnation holds the claim.
     *
     * @param owner the incarnation that holds the claim
     * @param ownerAddress the holder's link address as {@code host:port}
     * @param fence the holder's fencing token
     * @param digest the digest of the submission body that was claimed
     * @param claimedAt the time at which the submission was first claimed, by the clock of the entry that claimed it
     */
    record HeldByOther(ProcessId owner, String ownerAddress, long fence, String digest, Instant claimedAt)
            implements ClaimResult {
        /** Checks that all parts are present. */
        public HeldByOther {
            Objects.requireNonNull(owner, "owner");
            Objects.requireNonNull(ownerAddress, "ownerAddress");
            Objects.requireNonNull(digest, "digest");
            Objects.requireNonNull(claimedAt, "claimedAt");
        }
    }

    /**
     * The store did not confirm the claim in time; the claim may still be written later.
     *
     * @param detail a human-readable explanation in one line
     */
    record Unavailable(String detail) implements ClaimResult {}
}
