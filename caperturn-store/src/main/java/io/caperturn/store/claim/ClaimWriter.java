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
 * Writer of durable claims, which writes the claims that wait at the same time in one transaction.
 *
 * <p>A claim is a row in the store that gives one entry the right to run a submission; an entry is a process that
 * accepts submissions, and an incarnation is one run of that process.
 *
 * <p>New claims are collected while a transaction is in flight. After a lost reply the same conditional write is sent
 * again. If the first write took effect, the second one meets a conflict, and the row contains this entry's incarnation
 * and the number of the claim's request. When the store limits writes, fewer and larger transactions are sent. While
 * the store is known to be down, claims are refused at once, and a read at regular intervals probes whether it is back.
 */
public final class ClaimWriter {
    private static final System.Logger LOGGER = System.getLogger(ClaimWriter.class.getName());
    /** Interval at which pending claims are retried, or a store that is down is probed. */
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(50);

    /** Read of one row, no matter which, to find out whether the store answers again. */
    private static final Transaction PROBE = new Transaction(List.of(new RowKey("versions", "table")), List.of());

    private final PlatformStore store;
    private final ClaimOwner owner;
    private final ClaimPolicy policy;
    private final Consumer<EntryEvent.ClaimSettled> resultReceiver;
    private final InstantSource clock;
    private final QueueWorker<PendingClaim> batchThread;
    private final StoreCircuitBreaker circuitBreaker = new StoreCircuitBreaker();
    private final AdaptiveBatchInterval batchInterval;
    /** Claims to write with the next transactions, oldest first. */
    private final Map<RowKey, PendingClaim> pendingByRow = new LinkedHashMap<>();
    /** Claims on a row for which another claim is in {@link #pendingByRow}. */
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
                new QueueWorker<>("claim-writer", policy.queueCapacity(), RETRY_INTERVAL, new QueueWorker.Handler<>() {
                    @Override
                    public void onBatch(List<PendingClaim> batch) {
                        addAndWrite(batch);
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
     * @param requestNumber the number of this request, unique within this incarnation of the entry
     * @return false if the queue is full or the store is known to be down; then nothing was or will be written
     */
    public boolean requestClaim(Submission submission, long requestNumber) {
        return !circuitBreaker.isOpen() && batchThread.offer(newClaim(submission, requestNumber, Optional.empty()));
    }

    /**
     * Requests to take over the claim of an owner that is gone; has no effect if the claim has another owner by then.
     *
     * @param submission the submission
     * @param requestNumber the number of this request, unique within this incarnation of the entry
     * @param heldClaim the claim of the owner that is gone; the new claim keeps the time at which it was claimed
     */
    public void requestAdoption(Submission submission, long requestNumber, ClaimResult.HeldByOther heldClaim) {
        if (circuitBreaker.isOpen()
                || !batchThread.offer(newClaim(submission, requestNumber, Optional.of(heldClaim)))) {
            reportResult(submission, new ClaimResult.Unavailable("the store is down or too many claims wait"));
        }
    }

    private PendingClaim newClaim(
            Submission submission, long requestNumber, Optional<ClaimResult.HeldByOther> claimToAdopt) {
        long deadline = System.nanoTime() + policy.timeout().toNanos();
        return new PendingClaim(submission, requestNumber, claimToAdopt, deadline);
    }

    /** Adds claims taken from the queue to the pending ones, and writes them unless more claims wait for the batch. */
    private void addAndWrite(List<PendingClaim> batch) {
        for (PendingClaim claim : batch) {
            if (circuitBreaker.isOpen()) {
                reportResult(claim.submission(), new ClaimResult.Unavailable("the store is down"));
            } else if (pendingByRow.putIfAbsent(claim.key(), claim) != null) {
                waitingForSameRow.add(claim);
            }
        }
        awaitBatchInterval();
        if (batchThread.queueSize() == 0 || pendingByRow.size() >= policy.maximumBatch()) {
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
            // Queued claims go first: while the store is down they are refused at once, without a slow call.
            return;
        }
        if (!pendingByRow.isEmpty()) {
            awaitBatchInterval();
            writePending();
        } else if (circuitBreaker.isOpen() && store.transact(PROBE) instanceof StoreResult.Committed) {
            circuitBreaker.onReply();
            LOGGER.log(
                    System.Logger.Level.INFO, EventLine.of("claim-store-back").toString());
        }
    }

    /**
     * Writes until no claim is pending or a transaction makes no progress; the next claims from the queue, or the retry
     * interval, start another try.
     */
    private void writePending() {
        boolean progressing = true;
        while (progressing && !pendingByRow.isEmpty()) {
            refuseOverdueClaims();
            progressing = pendingByRow.isEmpty() || writeBatch();
            promoteWaiting();
        }
    }

    /** Writes the oldest pending claims in one transaction; returns whether to continue writing at once. */
    private boolean writeBatch() {
        List<PendingClaim> batch =
                pendingByRow.values().stream().limit(policy.maximumBatch()).toList();
        List<Write> writes = batch.stream()
                .map(claim -> claim.toWrite(owner, clock.instant(), policy.lifetime()))
                .toList();
        lastTransactionStartNanoseconds = System.nanoTime();
        StoreResult result = store.transact(new Transaction(List.of(), writes));
        return switch (result) {
            case StoreResult.Committed ignored -> {
                circuitBreaker.onReply();
                batchInterval.onCommitted();
                batch.forEach(claim -> finish(claim, new ClaimResult.Granted(claim.fence(), claim.requestNumber())));
                yield true;
            }
            case StoreResult.Conflict(List<StoreRow> rows) -> {
                circuitBreaker.onReply();
                yield resolveConflict(batch, rows);
            }
            case StoreResult.RateLimited ignored -> {
                circuitBreaker.onReply();
                batchInterval.onRateLimited();
                yield false;
            }
            case StoreResult.Unavailable(String detail) -> {
                circuitBreaker.onUnavailable();
                log("claim-store-unavailable", batch.size(), detail);
                refuseClaimsNotInDoubt(detail);
                yield false;
            }
            case StoreResult.Unknown(String detail) -> {
                // The oldest claim is in doubt if an earlier reply was lost; only the first loss is retried at once.
                boolean firstLostReply = !batch.getFirst().isInDoubt();
                circuitBreaker.onLostReply(Duration.ofNanos(System.nanoTime() - lastTransactionStartNanoseconds));
                log("claim-reply-lost", batch.size(), detail);
                batch.forEach(PendingClaim::markInDoubt);
                yield firstLostReply && !circuitBreaker.isOpen();
            }
        };
    }

    /** Finishes or updates claims by their current rows; returns whether any changed, so that a retry is useful now. */
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
                case ClaimConflict.FinalResult(ClaimResult result) -> {
                    finish(claim, result);
                    changed = true;
                }
                case ClaimConflict.ReplaceableRow(long version, long nextFence) -> {
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

    /** Refuses the claims that were certainly not written; the others are written again. */
    private void refuseClaimsNotInDoubt(String detail) {
        for (PendingClaim claim : List.copyOf(pendingByRow.values())) {
            if (!claim.isInDoubt()) {
                finish(claim, new ClaimResult.Unavailable(detail));
            }
        }
    }

    private void refuseOverdueClaims() {
        long now = System.nanoTime();
        for (PendingClaim claim : List.copyOf(pendingByRow.values())) {
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
            if (pendingByRow.putIfAbsent(claim.key(), claim) == null) {
                claims.remove();
            }
        }
    }

    private void finish(PendingClaim claim, ClaimResult result) {
        pendingByRow.remove(claim.key());
        reportResult(claim.submission(), result);
    }

    private void reportResult(Submission submission, ClaimResult result) {
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
