package io.caperturn.store.claim;

import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.model.ProcessId;
import io.caperturn.store.Row;
import io.caperturn.store.internal.ClaimRow;
import io.caperturn.store.internal.StoreJson;
import java.time.Instant;
import java.util.Optional;

/** What the row in force means for a claim whose transaction met a conflict. */
sealed interface ClaimVerdict {
    /** The claim is settled by the row. */
    record Settled(ClaimResult result) implements ClaimVerdict {}

    /** The row may be replaced under its present version. */
    record Replaceable(long version, long nextFence) implements ClaimVerdict {}

    /** The row is as the claim expected; another row of the transaction conflicted. */
    record Unopposed() implements ClaimVerdict {}

    /**
     * Judges a claim by its row.
     *
     * @param claim the claim
     * @param row the row in force
     * @param owner the entry that claims
     * @param now the present time, against which expiry is measured
     * @return the verdict
     */
    static ClaimVerdict of(PendingClaim claim, Row row, ProcessId owner, Instant now) {
        if (row.version() == claim.expectedVersion()) {
            return new Unopposed();
        }
        if (row.value().isEmpty()) {
            return new Replaceable(row.version(), claim.fence());
        }
        Optional<ClaimRow> read = StoreJson.read(row.value().get(), ClaimRow.class);
        return read.map(value -> of(claim, value, row.version(), owner, now))
                .orElseGet(() -> new Settled(new ClaimResult.Unavailable("claim's row is not readable")));
    }

    private static ClaimVerdict of(PendingClaim claim, ClaimRow row, long version, ProcessId owner, Instant now) {
        boolean ours = row.process().equals(owner);
        if (ours && row.request() == claim.request()) {
            return new Settled(new ClaimResult.Granted(row.fence(), row.request()));
        }
        if (row.expiresAtMilliseconds() <= now.toEpochMilli()) {
            return new Replaceable(version, row.fence() + 1);
        }
        boolean sameBody = row.digest().equals(claim.submission().digest());
        if (ours && sameBody) {
            return new Settled(new ClaimResult.Granted(row.fence(), row.request()));
        }
        if (!ours && sameBody && claim.adopts(row.fence())) {
            return new Replaceable(version, row.fence() + 1);
        }
        return new Settled(new ClaimResult.HeldByOther(
                row.process(),
                row.linkAddress(),
                row.fence(),
                row.digest(),
                Instant.ofEpochMilli(row.claimedAtMilliseconds())));
    }
}
