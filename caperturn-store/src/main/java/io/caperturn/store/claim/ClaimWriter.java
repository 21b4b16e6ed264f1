package io.caperturn.store.claim;

import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.model.Submission;
import io.caperturn.kernel.QueueWorker;
import io.caperturn.kernel.EventLine;
import io.caperturn.store.PlatformStore;
import io.caperturn.store.Row;
import io.caperturn.store.RowKey;
import io.caperturn.store.StoreResult;
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
 * Writer of durable claims, one transaction for all claims that wait.
 *
 * <p>While a transaction is in flight the next claims gather. A lost reply is settled by the same conditional write
 * again: the row carries the incarnation and number of the request that wrote it. Where the store limits writes, fewer
 * and larger transactions are sent. While the store is known to be down, claims are refused at once and a read probes
 * it.
 */
public final class ClaimWriter {
    private static final System.Logger LOGGER = System.getLogger(ClaimWriter.class.getName());
    private static final Duration PROBE_INTERVAL = Duration.ofMillis(50);
    private static final Transaction PROBE = new Transaction(List.of(new RowKey("versions", "table")), List.of());

    private final PlatformStore store;
    private final ClaimOwner owner;
    private final ClaimPolicy policy;
    private final Consumer<EntryEvent.ClaimSettled> settled;
    private final InstantSource clock;
    private final QueueWorker<PendingClaim> duty;
    private final StoreCircuit circuit = new StoreCircuit();
    private final BatchPace pace;
    private final Map<RowKey, PendingClaim> pending = new LinkedHashMap<>();
    private final List<PendingClaim> following = new ArrayList<>();
    private long lastBegin;

    /**
     * Creates a writer; {@link #start} starts its thread.
     *
     * @param store the store
     * @param owner the entry that claims
     * @param policy how claims are written
     * @param settled receives each result, on the writer's thread, or on the caller's where {@link #adopt} refuses
     */
    public ClaimWriter(
            PlatformStore store, ClaimOwner owner, ClaimPolicy policy, Consumer<EntryEvent.ClaimSettled> settled) {
        this(store, owner, policy, settled, InstantSource.system());
    }

    ClaimWriter(
            PlatformStore store,
            ClaimOwner owner,
            ClaimPolicy policy,
            Consumer<EntryEvent.ClaimSettled> settled,
            InstantSource clock) {
        this.store = Objects.requireNonNull(store, "store");
        this.owner = Objects.requireNonNull(owner, "owner");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.settled = Objects.requireNonNull(settled, "settled");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.pace = new BatchPace(policy.batchInterval());
        this.lastBegin = System.nanoTime() - policy.batchInterval().toNanos();
        this.duty = new QueueWorker<>("claim-writer", policy.ringCapacity(), PROBE_INTERVAL, new QueueWorker.Handler<>() {
            @Override
            public void onBatch(List<PendingClaim> batch) {
                gather(batch);
            }

            @Override
            public void onInterval() {
                retry();
            }
        });
    }

    /** Starts the writer's thread. */
    public void start() {
        duty.start();
    }

    /** Stops the writer's thread; claims that wait are dropped without a result. */
    public void stop() {
        duty.stop();
    }

    /**
     * Asks for a claim.
     *
     * @param submission the submission
     * @param request the number of this request, which no other of this incarnation has
     * @return false if the ring is full or the store is known to be down; nothing was or will be written then
     */
    public boolean request(Submission submission, long request) {
        return !circuit.isOpen() && duty.offer(claim(submission, request, Optional.empty()));
    }

    /**
     * Asks to replace the claim of an owner that is gone; no effect on a claim that has changed hands since.
     *
     * @param submission the submission
     * @param request the number of this request, which no other of this incarnation has
     * @param held the claim that the owner that is gone held; when it was claimed is kept
     */
    public void adopt(Submission submission, long request, ClaimResult.HeldByOther held) {
        if (circuit.isOpen() || !duty.offer(claim(submission, request, Optional.of(held)))) {
            settle(submission, new ClaimResult.Unavailable("the store is down or too many claims wait"));
        }
    }

    private PendingClaim claim(Submission submission, long request, Optional<ClaimResult.HeldByOther> held) {
        long deadline = System.nanoTime() + policy.timeout().toNanos();
        return new PendingClaim(submission, request, held, deadline);
    }

    private void gather(List<PendingClaim> batch) {
        for (PendingClaim claim : batch) {
            if (circuit.isOpen()) {
                settle(claim.submission(), new ClaimResult.Unavailable("the store is down"));
            } else if (pending.putIfAbsent(claim.key(), claim) != null) {
                following.add(claim);
            }
        }
        waitForPace();
        if (duty.queueSize() == 0 || pending.size() >= policy.maximumBatch()) {
            writePending();
        }
    }

    private void waitForPace() {
        long rest = pace.interval().toNanos() - (System.nanoTime() - lastBegin);
        if (rest > 0) {
            LockSupport.parkNanos(this, rest);
        }
    }

    private void retry() {
        if (duty.queueSize() > 0) {
            // Taken first, so that claims which only wait are refused before a call that may last its whole timeout.
            return;
        }
        if (!pending.isEmpty()) {
            waitForPace();
            writePending();
        } else if (circuit.isOpen() && store.transact(PROBE) instanceof StoreResult.Committed) {
            circuit.succeeded();
            LOGGER.log(
                    System.Logger.Level.INFO, EventLine.of("claim-store-back").toString());
        }
    }

    /** Writes until nothing is pending or the store fails; what is left then waits for more claims or the interval. */
    private void writePending() {
        boolean progress = true;
        while (progress && !pending.isEmpty()) {
            expire();
            progress = pending.isEmpty() || writeOnce();
            followUp();
        }
    }

    private boolean writeOnce() {
        List<PendingClaim> batch =
                pending.values().stream().limit(policy.maximumBatch()).toList();
        List<Write> writes = batch.stream()
                .map(claim -> claim.write(owner, clock.instant(), policy.expiry()))
                .toList();
        lastBegin = System.nanoTime();
        StoreResult result = store.transact(new Transaction(List.of(), writes));
        return switch (result) {
            case StoreResult.Committed ignored -> {
                circuit.succeeded();
                pace.committed();
                batch.forEach(claim -> finish(claim, new ClaimResult.Granted(claim.fence(), claim.request())));
                yield true;
            }
            case StoreResult.Conflict(List<Row> rows) -> {
                circuit.succeeded();
                yield judge(batch, rows);
            }
            case StoreResult.Limited ignored -> {
                circuit.succeeded();
                pace.limited();
                yield false;
            }
            case StoreResult.Unavailable(String detail) -> {
                circuit.refused();
                log("claim-store-unavailable", batch.size(), detail);
                refuseUntried(detail);
                yield false;
            }
            case StoreResult.Unknown(String detail) -> {
                boolean first = !batch.getFirst().isInDoubt();
                circuit.lost(Duration.ofNanos(System.nanoTime() - lastBegin));
                log("claim-reply-lost", batch.size(), detail);
                batch.forEach(PendingClaim::doubt);
                yield first && !circuit.isOpen();
            }
        };
    }

    /** Settles or updates what conflicted; false if no row explains the conflict, so that it is not tried at once. */
    private boolean judge(List<PendingClaim> batch, List<Row> rows) {
        Map<RowKey, Row> inForce = new HashMap<>();
        rows.forEach(row -> inForce.put(row.key(), row));
        boolean changed = false;
        for (PendingClaim claim : batch) {
            Row row = inForce.get(claim.key());
            if (row == null) {
                continue;
            }
            switch (ClaimVerdict.of(claim, row, owner.process(), clock.instant())) {
                case ClaimVerdict.Settled(ClaimResult result) -> {
                    finish(claim, result);
                    changed = true;
                }
                case ClaimVerdict.Replaceable(long version, long nextFence) -> {
                    claim.replace(version, nextFence);
                    changed = true;
                }
                case ClaimVerdict.Unopposed() -> {
                    // Tried again with what is left of the batch.
                }
            }
        }
        return changed;
    }

    private void refuseUntried(String detail) {
        for (PendingClaim claim : List.copyOf(pending.values())) {
            if (!claim.isInDoubt()) {
                finish(claim, new ClaimResult.Unavailable(detail));
            }
        }
    }

    private void expire() {
        long now = System.nanoTime();
        for (PendingClaim claim : List.copyOf(pending.values())) {
            if (claim.isPast(now)) {
                finish(claim, new ClaimResult.Unavailable("the store did not answer in time"));
            }
        }
    }

    /** Takes up claims that waited for an earlier one on the same row. */
    private void followUp() {
        Iterator<PendingClaim> claims = following.iterator();
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
        settled.accept(new EntryEvent.ClaimSettled(submission.id(), result));
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
