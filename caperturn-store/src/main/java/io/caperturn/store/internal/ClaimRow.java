package io.caperturn.store.internal;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.store.RowKey;
import java.util.Objects;

/**
 * Value of a row in the store's table {@code claims}: the durable claim by which an entry (a process that accepts
 * submissions) owns a submission.
 *
 * @param owner the name of the entry that holds the claim
 * @param incarnation the number of the run of the owner's process
 * @param linkAddress the address on which the owner accepts connections of other processes, {@code host:port}
 * @param fence the fencing token, raised each time the claim is replaced
 * @param digest the digest of the submission's body
 * @param claimedAtMilliseconds the time of the claim, in milliseconds since the epoch
 * @param expiresAtMilliseconds the time at which the claim expires, in milliseconds since the epoch
 * @param request the number that the owner gave to the request for the claim, by which it recognizes its own write
 */
public record ClaimRow(
        String owner,
        long incarnation,
        String linkAddress,
        long fence,
        String digest,
        long claimedAtMilliseconds,
        long expiresAtMilliseconds,
        long request) {
    private static final String TABLE = "claims";

    /** Checks that no component is null and that the owner is not blank. */
    public ClaimRow {
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(linkAddress, "linkAddress");
        Objects.requireNonNull(digest, "digest");
        if (owner.isBlank()) {
            throw new IllegalArgumentException("owner must not be blank");
        }
    }

    /**
     * Returns the key of a submission's claim; different submissions have different keys.
     *
     * @param submission the submission
     * @return the key
     */
    public static RowKey keyOf(SubmissionId submission) {
        String team = submission.team().replace("%", "%25").replace("/", "%2F");
        return new RowKey(TABLE, team + "/" + submission.key());
    }

    /**
     * Returns the identity of the owner's process.
     *
     * @return the identity
     */
    public ProcessId ownerProcess() {
        return new ProcessId(owner, incarnation);
    }
}
