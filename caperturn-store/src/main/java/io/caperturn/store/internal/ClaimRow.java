package io.caperturn.store.internal;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.store.RowKey;
import java.util.Objects;

/**
 * Value of a row of the table {@code claims}.
 *
 * @param owner name of the entry that holds the claim
 * @param incarnation the holder's incarnation
 * @param linkAddress the holder's link address, {@code host:port}
 * @param fence the fence number, raised at each change of holder
 * @param digest the digest of the submission's body
 * @param claimedAtMilliseconds when it was claimed, since the epoch
 * @param expiresAtMilliseconds until when it is in force, since the epoch
 * @param request the holder's number of the request that wrote the row, by which it knows its own write again
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

    /** Checks that all parts are present. */
    public ClaimRow {
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(linkAddress, "linkAddress");
        Objects.requireNonNull(digest, "digest");
        if (owner.isBlank()) {
            throw new IllegalArgumentException("owner must be named");
        }
    }

    /**
     * Returns the place of a submission's claim; distinct for distinct submissions.
     *
     * @param submission the submission
     * @return the place
     */
    public static RowKey keyOf(SubmissionId submission) {
        String team = submission.team().replace("%", "%25").replace("/", "%2F");
        return new RowKey(TABLE, team + "/" + submission.key());
    }

    /**
     * Returns the holder's identity.
     *
     * @return the identity
     */
    public ProcessId process() {
        return new ProcessId(owner, incarnation);
    }
}
