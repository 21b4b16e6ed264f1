package io.caperturn.store.claim;

import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.model.ProcessId;
import io.caperturn.store.StoreRow;
import io.caperturn.store.internal.ClaimRow;
import io.caperturn.store.internal.StoreJson;
import java.time.Instant;
import java.util.Optional;

/**
 * Outcome of a claim (an entry process's durable right to run a submission) whose transaction the store refused because
 * a row did not have the expected version.
 *
 * <p>The claim's current row determines the outcome. It holds a fencing token, a number that rises with each new owner
 * of the submission.
 */
sealed interface ClaimConflict {
    /** The row determines the claim's result, which is final. */
    record FinalResult(ClaimResult result) implements ClaimConflict {}

    /** The claim is allowed to replace the row of the given version, and stores the given fencing token in it. */
    record ReplaceableRow(long version, long nextFence) implements ClaimConflict {}

    /** The row has the version that the claim expects; another row of the transaction caused the conflict. */
    record OtherRowConflicted() implements ClaimConflict {}

    /**
     * Determines the outcome of a claim by its current row.
     *
     * @param claim the claim
     * @param row the claim's current row
     * @param claimant the identity of the entry that claims
     * @param now the current time, against which the expiry of the row is checked
     * @return the outcome
     */
    static ClaimConflict of(PendingClaim claim, StoreRow row, ProcessId claimant, Instant now) {
        if (row.version() == claim.expectedVersion()) {
            return new OtherRowConflicted();
        }
        if (row.value().isEmpty()) {
            // The row does not exist.
            return new ReplaceableRow(row.version(), claim.fence());
        }
        Optional<ClaimRow> read = StoreJson.read(row.value().get(), ClaimRow.class);
        return read.map(value -> of(claim, value, row.version(), claimant, now))
                .orElseGet(() ->
                        new FinalResult(new ClaimResult.Unavailable("the claim's row in the store is not readable")));
    }

    private static ClaimConflict of(PendingClaim claim, ClaimRow row, long version, ProcessId claimant, Instant now) {
        boolean ownedByThisEntry = row.ownerProcess().equals(claimant);
        if (ownedByThisEntry && row.request() == claim.requestNumber()) {
            // An earlier write of this claim took effect, but its reply was lost.
            return new FinalResult(new ClaimResult.Granted(row.fence(), row.request()));
        }
        if (row.expiresAtMilliseconds() <= now.toEpochMilli()) {
            return new ReplaceableRow(version, row.fence() + 1);
        }
        boolean sameDigest = row.digest().equals(claim.submission().digest());
        if (ownedByThisEntry && sameDigest) {
            // This entry already holds the claim on the same submission from an earlier request.
            return new FinalResult(new ClaimResult.Granted(row.fence(), row.request()));
        }
        if (!ownedByThisEntry && sameDigest && claim.isAdoptionOf(row.fence())) {
            // The claim takes over (adopts) that of an entry that is gone. By the higher fencing token, sidecar
            // processes, which pass tasks to upstreams, recognize and refuse further dispatches of that entry.
            return new ReplaceableRow(version, row.fence() + 1);
        }
        return new FinalResult(new ClaimResult.HeldByOther(
                row.ownerProcess(),
                row.linkAddress(),
                row.fence(),
                row.digest(),
                Instant.ofEpochMilli(row.claimedAtMilliseconds())));
    }
}
