package io.caperturn.core.entry;

import io.caperturn.core.model.ProcessId;
import java.time.Instant;
import java.util.Objects;

/** What the platform's store said about a claim. */
public sealed interface ClaimResult {
    /**
     * The claim is durable and belongs to this incarnation.
     *
     * @param fence the fence number for its attempts
     * @param request the number of the request of this incarnation that wrote the row
     */
    record Granted(long fence, long request) implements ClaimResult {}

    /**
     * Another incarnation holds the claim.
     *
     * @param owner the holder
     * @param ownerAddress the holder's link address as {@code host:port}
     * @param fence the holder's fence number
     * @param digest the digest of the body that was claimed
     * @param claimedAt when it was claimed first, by the clock of the entry that wrote it
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
     * The store did not settle the claim in time; the row may or may not come to exist.
     *
     * @param detail one line for people
     */
    record Unavailable(String detail) implements ClaimResult {}
}
