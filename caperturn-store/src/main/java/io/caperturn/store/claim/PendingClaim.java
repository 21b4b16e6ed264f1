package io.caperturn.store.claim;

import io.caperturn.core.entry.ClaimResult.HeldByOther;
import io.caperturn.core.model.Submission;
import io.caperturn.store.RowKey;
import io.caperturn.store.Write;
import io.caperturn.store.internal.ClaimRow;
import io.caperturn.store.internal.StoreJson;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Claim that has no result yet; a claim is the durable row by which one entry (a process that accepts submissions) owns
 * a submission.
 *
 * <p>A claim can be an adoption: it then replaces the claim that another entry holds. Once taken from the queue of the
 * {@link ClaimWriter}, the object is confined to the writer's thread.
 */
final class PendingClaim {
    private static final long FIRST_FENCE = 1;

    private final Submission submission;
    private final RowKey key;
    /** Number of the request for this claim, unique within one run of the entry's process. */
    private final long requestNumber;
    /** Claim of another entry that this one is to replace; empty if this is not an adoption. */
    private final Optional<HeldByOther> claimToAdopt;

    private final long deadlineNanoseconds;
    /** Version of the row that the next write expects; 0 if the row must not exist. */
    private long expectedVersion;
    /** Fencing token that the next write stores; it rises with each new owner of the submission. */
    private long fence;

    private boolean inDoubt;

    PendingClaim(
            Submission submission, long requestNumber, Optional<HeldByOther> claimToAdopt, long deadlineNanoseconds) {
        this.submission = submission;
        this.key = ClaimRow.keyOf(submission.id());
        this.requestNumber = requestNumber;
        this.claimToAdopt = claimToAdopt;
        this.deadlineNanoseconds = deadlineNanoseconds;
        this.fence = claimToAdopt.map(held -> held.fence() + 1).orElse(FIRST_FENCE);
    }

    Submission submission() {
        return submission;
    }

    RowKey key() {
        return key;
    }

    long requestNumber() {
        return requestNumber;
    }

    /** Returns whether this claim is to adopt a claim of another entry, and that claim has the given fencing token. */
    boolean isAdoptionOf(long heldFence) {
        return claimToAdopt.filter(held -> held.fence() == heldFence).isPresent();
    }

    long expectedVersion() {
        return expectedVersion;
    }

    long fence() {
        return fence;
    }

    /** Returns whether an earlier write of this claim may have taken effect. */
    boolean isInDoubt() {
        return inDoubt;
    }

    boolean isOverdue(long nowNanoseconds) {
        return nowNanoseconds - deadlineNanoseconds >= 0;
    }

    void markInDoubt() {
        inDoubt = true;
    }

    /** Sets the version of the row that the next write expects, and the fencing token that it writes. */
    void prepareReplacement(long version, long nextFence) {
        expectedVersion = version;
        fence = nextFence;
    }

    /** Returns the write of this claim; an adoption keeps the time of the adopted claim. */
    Write toWrite(ClaimOwner owner, Instant now, Duration lifetime) {
        ClaimRow row = new ClaimRow(
                owner.process().name(),
                owner.process().incarnation(),
                owner.linkAddress(),
                fence,
                submission.digest(),
                claimToAdopt.map(HeldByOther::claimedAt).orElse(now).toEpochMilli(),
                now.plus(lifetime).toEpochMilli(),
                requestNumber);
        return new Write(key, expectedVersion, Optional.of(StoreJson.write(row)));
    }
}
