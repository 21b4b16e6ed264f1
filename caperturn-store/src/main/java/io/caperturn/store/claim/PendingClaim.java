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

/** Claim that is not settled yet; confined to the thread of the {@link ClaimWriter} once it was taken from the ring. */
final class PendingClaim {
    private static final long FIRST_FENCE = 1;

    private final Submission submission;
    private final RowKey key;
    private final long request;
    private final Optional<HeldByOther> adopted;
    private final long deadlineNanoseconds;
    private long expectedVersion;
    private long fence;
    private boolean inDoubt;

    PendingClaim(Submission submission, long request, Optional<HeldByOther> adopted, long deadlineNanoseconds) {
        this.submission = submission;
        this.key = ClaimRow.keyOf(submission.id());
        this.request = request;
        this.adopted = adopted;
        this.deadlineNanoseconds = deadlineNanoseconds;
        this.fence = adopted.map(held -> held.fence() + 1).orElse(FIRST_FENCE);
    }

    Submission submission() {
        return submission;
    }

    RowKey key() {
        return key;
    }

    long request() {
        return request;
    }

    /** Tells whether this claim is to replace the one under a certain fence. */
    boolean adopts(long heldFence) {
        return adopted.filter(held -> held.fence() == heldFence).isPresent();
    }

    long expectedVersion() {
        return expectedVersion;
    }

    long fence() {
        return fence;
    }

    /** Tells whether an earlier try may have taken effect. */
    boolean isInDoubt() {
        return inDoubt;
    }

    boolean isPast(long nowNanoseconds) {
        return nowNanoseconds - deadlineNanoseconds >= 0;
    }

    void doubt() {
        inDoubt = true;
    }

    /** Sets which version of the row the next try replaces, and the fence that it writes. */
    void replace(long version, long nextFence) {
        expectedVersion = version;
        fence = nextFence;
    }

    Write write(ClaimOwner owner, Instant now, Duration expiry) {
        ClaimRow row = new ClaimRow(
                owner.process().name(),
                owner.process().incarnation(),
                owner.linkAddress(),
                fence,
                submission.digest(),
                adopted.map(HeldByOther::claimedAt).orElse(now).toEpochMilli(),
                now.plus(expiry).toEpochMilli(),
                request);
        return new Write(key, expectedVersion, Optional.of(StoreJson.write(row)));
    }
}
