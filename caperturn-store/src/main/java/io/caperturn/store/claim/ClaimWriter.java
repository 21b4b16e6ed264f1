package io.caperturn.store.claim;

import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.model.Submission;
import io.caperturn.kernel.EventLine;
import io.caperturn.kernel.QueueWorker;
import io.caperturn.store.PlatformStore;
import io.caperturn.store.RowKey;
import io.caperturn.store.StoreResult;
import io.caperturn.store.StoreRow;
import io.caperturn.store.Transaction;
import io.caperturn.store.Write;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

/**
 * Writer of durable claims, which writes all waiting claims in one transaction.
 *
 * <p>A claim is a row in the store that gives one entry the right to run a submission; an entry is a process that
 * accepts submissions, and an incarnation is one run of that process.
 *
 * <p>New claims are collected while a transaction is in flight. After a lost reply the same conditional write is sent
 * again; if the first one took effect, the conflicting row shows it by the incarnation and number of the request that
 * wrote it. When the store limits writes, fewer and larger transactions are sent. While the store is known to be down,
 * claims are refused at once, and a read at regular intervals probes whether it is back.
 */
public final class ClaimWriter {
    private static final System.Logger LOGGER = System.getLogger(ClaimWriter.class.getName());
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(50);

    /** Read of one row, which shows whether the store answers again. */
    private static final Transaction PROBE = new Transaction(List.of(new RowKey("versions", "table")), List.of());

    private final PlatformStore store;
    private final ClaimOwner owner;
    private final ClaimPolicy policy;
    private final Consumer<EntryEvent.ClaimSettled> resultReceiver;
    private final InstantSource clock;
    private final QueueWorker<PendingClaim> batchThread;
    private final StoreCircuitBreaker circuitBreaker = new StoreCircuitBreaker();
    private final AdaptiveBatchInterval batchInterval;
    private final Map<RowKey, PendingClaim> pending = new LinkedHashMap<>();
    private final List<PendingClaim> waitingForSameRow = new ArrayList<>();
    private long lastTransactionStartNanoseconds;

    /**
     * Creates a writer; {@link #start} starts its thread.
     *
     * @param store the store
     * @param owner the entry that claims
     * @param policy times and bounds
     * @param resultReceiver receiver of each result, called on the writer's thread, or on the caller's if
     *     {@link #requestAdoption} refuses
     */
    public ClaimWriter(
            PlatformStore store,
            ClaimOwner owner,
            ClaimPolicy policy,
            Consumer<EntryEvent.ClaimSettled> resultReceiver) {
        this(store, owner, policy, resultReceiver, InstantSource.system());
    }

    ClaimWriter(
            PlatformStore store,
            ClaimOwner owner,
            ClaimPolicy policy,
            Consumer<EntryEvent.ClaimSettled> resultReceiver,
            InstantSource clock) {
        this.store = Objects.requireNonNull(store, "store");
        this.owner = Objects.requireNonNull(owner, "owner");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.resultReceiver = Objects.requireNonNull(resultReceiver, "resultReceiver");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.batchInterval = new AdaptiveBatchInterval(policy.batchInterval());
        this.lastTransactionStartNanoseconds =
                System.nanoTime() - policy.batchInterval().toNanos();
        this.batchThread =
                new QueueWorker<>("claim-writer", policy.ringCapacity(), PROBE_INTERVAL, new QueueWorker.Handler<>() {
                    @Override
                    public void onBatch(List<PendingClaim> batch) {
                        addBatch(batch);
                    }

                    @Override
                    public void onInterval() {
                        retryOrProbe();
                    }
                });
    }

    /** Starts the writer's thread. */
    public void start() {
        batchThread.start();
    }

    /** Stops the writer's thread; waiting claims are dropped without a result. */
    public void stop() {
        batchThread.stop();
    }

    /**
     * Requests a claim on a submission.
     *
     * @param submission the submission
     * @param requestNumber the number of this request, unique within this incarnation
     * @return false if the ring buffer is full or the store is known to be down; then nothing was or will be written
     */
    public boolean requestClaim(Submission submission, long requestNumber) {
        return !circuitBreaker.isOpen() && batchThread.offer(newClaim(submission, requestNumber, Optional.empty()));
    }

    /**
     * Requests to take over the claim of an owner that is gone; has no effect if the claim has another owner by then.
     *
     * @param submission the submission
     * @param requestNumber the number of this request, unique within this incarnation
     * @param held the claim of the owner that is gone; its time of claim is kept
     */
    public void requestAdoption(Submission submission, long requestNumber, ClaimResult.HeldByOther held) {
        if (circuitBreaker.isOpen() || !batchThread.offer(newClaim(submission, requestNumber, Optional.of(held)))) {
            settle(submission, new ClaimResult.Unavailable("the store is down or too many claims wait"));
        }
    }

    private PendingClaim newClaim(Submission submission, long requestNumber, Optional<ClaimResult.HeldByOther> held) {
        long deadline = System.nanoTime() + policy.timeout().toNanos();
        return new PendingClaim(submission, requestNumber, held, deadline);
    }

    private void addBatch(List<PendingClaim> batch) {
        for (PendingClaim claim : batch) {
            if (circuitBreaker.isOpen()) {
                settle(claim.submission(), new ClaimResult.Unavailable("the store is down"));
            } else if (pending.putIfAbsent(claim.key(), claim) != null) {
                waitingForSameRow.add(claim);
            }
        }
        awaitBatchInterval();
        if (batchThread.queueSize() == 0 || pending.size() >= policy.maximumBatch()) {
            writePending();
        }
    }

    private void awaitBatchInterval() {
        long remaining = batchInterval.current().toNanos() - (System.nanoTime() - lastTransactionStartNanoseconds);
        if (remaining > 0) {
            LockSupport.parkNanos(this, remaining);
        }
    }

    private void retryOrProbe() {
        if (batchThread.queueSize() > 0) {
            // The next batch goes first: if the store is down, its claims are refused before a call that may time out.
            return;
        }
        if (!pending.isEmpty()) {
            awaitBatchInterval();
            writePending();
        } else if (circuitBreaker.isOpen() && store.transact(PROBE) instanceof StoreResult.Committed) {
            circuitBreaker.onSuccess();
            LOGGER.log(
                    System.Logger.Level.INFO, EventLine.of("claim-store-back").toString());
        }
    }

    /**
     * Writes until no claim is pending or an attempt makes no progress; the rest is retried with the next batch or at
     * the probe interval.
     */
    private void writePending() {
        boolean progressing = true;
        while (progressing && !pending.isEmpty()) {
            refuseOverdue();
            progressing = pending.isEmpty() || writeBatch();
            promoteWaiting();
        }
    }

    /** Writes the oldest pending claims in one transaction; returns whether to continue writing at once. */
    private boolean writeBatch() {
        List<PendingClaim> batch =
                pending.values().stream().limit(policy.maximumBatch()).toList();
        List<Write> writes = batch.stream()
                .map(claim -> claim.toWrite(owner, clock.instant(), policy.expiry()))
                .toList();
        lastTransactionStartNanoseconds = System.nanoTime();
        StoreResult result = store.transact(new Transaction(List.of(), writes));
        return switch (result) {
            case StoreResult.Committed ignored -> {
                circuitBreaker.onSuccess();
                batchInterval.onCommitted();
                batch.forEach(claim -> finish(claim, new ClaimResult.Granted(claim.fence(), claim.requestNumber())));
                yield true;
            }
            case StoreResult.Conflict(List<StoreRow> rows) -> {
                circuitBreaker.onSuccess();
                yield resolveConflict(batch, rows);
            }
            case StoreResult.RateLimited ignored -> {
                circuitBreaker.onSuccess();
                batchInterval.onRateLimited();
                yield false;
            }
            case StoreResult.Unavailable(String detail) -> {
                circuitBreaker.onRefusal();
                log("claim-store-unavailable", batch.size(), detail);
                refuseNotInDoubt(detail);
                yield false;
            }
            case StoreResult.Unknown(String detail) -> {
                boolean firstLostReply = !batch.getFirst().isInDoubt();
                circuitBreaker.onLostReply(Duration.ofNanos(System.nanoTime() - lastTransactionStartNanoseconds));
                log("claim-reply-lost", batch.size(), detail);
                batch.forEach(PendingClaim::markInDoubt);
                yield firstLostReply && !circuitBreaker.isOpen();
            }
        };
    }

    /** Settles or updates conflicting claims; returns false if no row explains the conflict, to delay the next try. */
    private boolean resolveConflict(List<PendingClaim> batch, List<StoreRow> rows) {
        Map<RowKey, StoreRow> currentRows = new HashMap<>();
        rows.forEach(row -> currentRows.put(row.key(), row));
        boolean changed = false;
        for (PendingClaim claim : batch) {
            StoreRow row = currentRows.get(claim.key());
            if (row == null) {
                continue;
            }
            switch (ClaimConflict.of(claim, row, owner.process(), clock.instant())) {
                case ClaimConflict.Settled(ClaimResult result) -> {
                    finish(claim, result);
                    changed = true;
                }
                case ClaimConflict.Replaceable(long version, long nextFence) -> {
                    claim.prepareReplacement(version, nextFence);
                    changed = true;
                }
                case ClaimConflict.OtherRowConflicted() -> {
                    // Written again with the rest of the batch.
                }
            }
        }
        return changed;
    }

    private void refuseNotInDoubt(String detail) {
        for (PendingClaim claim : List.copyOf(pending.values())) {
            if (!claim.isInDoubt()) {
                finish(claim, new ClaimResult.Unavailable(detail));
            }
        }
    }

    private void refuseOverdue() {
        long now = System.nanoTime();
        for (PendingClaim claim : List.copyOf(pending.values())) {
            if (claim.isOverdue(now)) {
                finish(claim, new ClaimResult.Unavailable("the store did not answer in time"));
            }
        }
    }

    /** Makes claims pending that waited for an earlier claim on the same row. */
    private void promoteWaiting() {
        Iterator<PendingClaim> claims = waitingForSameRow.iterator();
        while (claims.hasNext()) {
            PendingClaim claim = claims.next();
            if (pending.putIfAbsent(claim.key(), claim) == null) {
                claims.remove();
            }
        }
    }

    private void finish(PendingClaim claim, ClaimResult result) {
        pending.remove(claim.key());
        settle(claim.submission(), result);
    }

    private void settle(Submission submission, ClaimResult result) {
        resultReceiver.accept(new EntryEvent.ClaimSettled(submission.id(), result));
    }

    private static void log(String event, int claims, String detail) {
        LOGGER.log(
                System.Logger.Level.WARNING,
                EventLine.of(event)
                        .with("claims", claims)
                        .with("detail", detail)
                        .toString());
    }
}
