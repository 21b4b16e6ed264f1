package io.caperturn.core.entry;

import io.caperturn.core.model.ProcessId;
import java.time.Instant;
import java.util.Objects;

/**
 * Result of a request to claim a submission.
 *
 * <p>A claim is the durable record in the platform's store that makes one entry (a process that accepts submissions)
 * the owner of a submission. Another entry can replace the claim of an owner that can't be reached.
 */
public sealed interface ClaimResult {
    /**
     * The claim is durable and belongs to this incarnation (run of the process).
     *
     * @param fence the fencing token of the claim, which the attempts to run its tasks carry
     * @param request the number of the request that wrote the claim; this incarnation numbers its claim requests
     */
    record Granted(long fence, long request) implements ClaimResult {}

    /**
     * Another incarnation holds the claim.
     *
     * @param owner the incarnation that holds the claim
     * @param ownerAddress the address at which the holder accepts connections of other entries, as {@code host:port}
     * @param fence the holder's fencing token
     * @param digest the digest of the submission body that was claimed
     * @param claimedAt the time at which the first owner claimed the submission, by its clock
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
