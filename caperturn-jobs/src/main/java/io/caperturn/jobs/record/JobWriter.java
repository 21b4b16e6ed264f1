package io.caperturn.jobs.record;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.ClosedRecord;
import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.record.RecordStore.WriteOutcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Writer of jobs to the store. The tables are divided into parts (partitions), and each job belongs to one of them.
 * While a transaction of a part is in flight, new writes to the part wait; they are sent together in the next
 * transaction.
 *
 * <p>An unanswered write is sent again under the same condition, the expected version of the stored job, until its
 * outcome is known. Only one of the attempts can meet the condition. If a later attempt does not meet it, the stored
 * bytes show whether an earlier attempt or another writer changed the job.
 */
public final class JobWriter {
    /** Table of unfinished jobs. */
    public static final String OPEN_TABLE = "caperturn-open";
    /** Table of finished jobs. */
    public static final String CLOSED_TABLE = "caperturn-closed";
    /**
     * Number of parts over which jobs are spread; a part executes some hundred transactions a second, one after
     * another.
     */
    public static final int PARTS = 4;

    /**
     * Maximum number of writes in a transaction: the checks and changes of a write are up to three in all, and the
     * store accepts a hundred in one transaction.
     */
    private static final int MAXIMUM_BATCH_WRITES = 30;
    /** Limit of the first delay before a refused transaction is repeated, in milliseconds. */
    private static final long FIRST_RETRY_MILLISECONDS = 50;
    /** Limit of every delay before a refused transaction is repeated, in milliseconds. */
    private static final long LAST_RETRY_MILLISECONDS = 400;
    /**
     * Maximum time for which a new job is retried while the store refuses, in milliseconds: its caller can then try
     * another entry (process that accepts jobs).
     */
    private static final long MAXIMUM_WAIT_MILLISECONDS = 150;

    /** Time after the last failure of the store after which a new job may test it again, in milliseconds. */
    private static final long PROBE_INTERVAL_MILLISECONDS = 400;

    private final RecordStore store;
    private final DecisionLoop loop;
    private final PartQueue[] queues = new PartQueue[PARTS];
    /** When the current series of failures began, in milliseconds of the loop's clock; Long.MAX_VALUE if none. */
    private long storeFailingSince = Long.MAX_VALUE;

    /** When a call of the store last failed, in milliseconds of the loop's clock. */
    private long lastStoreFailureAt = Long.MIN_VALUE / 2;

    /**
     * Creates a writer without pending writes.
     *
     * @param store the store
     * @param loop the loop on which all calls are made
     * @param retries source of the delays before transactions are repeated; their number is bounded by that of the
     *     parts
     */
    public JobWriter(RecordStore store, DecisionLoop loop, StoreRetryBudget retries) {
        this.store = store;
        this.loop = loop;
        Arrays.setAll(
                queues,
                number -> new PartQueue(
                        partName(number), retries.newBackoff(FIRST_RETRY_MILLISECONDS, LAST_RETRY_MILLISECONDS)));
    }

    /**
     * Returns the part that holds a job.
     *
     * @param job identity of the job
     * @return name of the part
     */
    public static String partOf(String job) {
        return partName(Math.floorMod(job.hashCode(), PARTS));
    }

    /**
     * Returns the name of a part.
     *
     * @param number number of the part, from 0
     * @return name of the part
     */
    public static String partName(int number) {
        return "p" + number;
    }

    /**
     * Returns whether a new job can be expected to be stored without delay.
     *
     * @return false while calls fail or are not answered, except at intervals, at which a write tests whether the store
     *     has recovered
     */
    public boolean isStoreResponsive() {
        long now = loop.monotonicMilliseconds();
        return storeFailingSince > now - MAXIMUM_WAIT_MILLISECONDS
                || lastStoreFailureAt < now - PROBE_INTERVAL_MILLISECONDS;
    }

    /**
     * Stores a new job, unless the store holds an unfinished or finished job of that identity.
     *
     * @param job identity of the job
     * @param content record of the unfinished job
     * @param receiver receiver of the outcome
     */
    public void insert(String job, JobRecord content, Consumer<Result> receiver) {
        add(new PendingWrite(
                job, /* version= */ 0, content.toBytes(), /* closed= */ null, receiver, loop.monotonicMilliseconds()));
    }

    /**
     * Replaces a stored job, if its version is unchanged.
     *
     * @param job identity of the job
     * @param version expected version of the stored job
     * @param content record of the unfinished job
     * @param receiver receiver of the outcome
     */
    public void update(String job, long version, JobRecord content, Consumer<Result> receiver) {
        add(new PendingWrite(
                job, version, content.toBytes(), /* closed= */ null, receiver, loop.monotonicMilliseconds()));
    }

    /**
     * Moves a job to the table of finished jobs, if its version is unchanged.
     *
     * @param job identity of the job
     * @param version expected version of the stored job
     * @param closedRecord record with the final state of the job
     * @param receiver receiver of the outcome
     */
    public void close(String job, long version, ClosedRecord closedRecord, Consumer<Result> receiver) {
        add(new PendingWrite(
                job, version, /* open= */ null, closedRecord.toBytes(), receiver, loop.monotonicMilliseconds()));
    }

    private void add(PendingWrite pending) {
        PartQueue queue = queues[Math.floorMod(pending.job.hashCode(), PARTS)];
        queue.add(pending);
    }

    /** Outcome of one write. */
    public sealed interface Result {
        /**
         * The write is stored.
         *
         * @param version version of the stored job
         */
        record Stored(long version) implements Result {}

        /**
         * Another write was applied first.
         *
         * @param unfinishedRecord the stored job, or null if there is no unfinished one
         * @param finishedRecord the stored final state, or null if there is none
         */
        record Conflicted(StoredRecord unfinishedRecord, StoredRecord finishedRecord) implements Result {}

        /**
         * The write is not stored and will not be.
         *
         * @param reason reason of the refusal
         */
        record Refused(String reason) implements Result {}
    }

    /** Write whose outcome is not yet known. */
    private static final class PendingWrite {
        private final String job;
        /** Expected version of the stored job; 0 for a new one. */
        private final long expectedVersion;
        /** New record of an unfinished job; null if the job is closed. */
        private final byte[] openRecord;
        /** New record of a finished job; null unless the job is closed. */
        private final byte[] closedRecord;

        private final Consumer<Result> receiver;
        /** When the write was requested, in milliseconds of the loop's clock. */
        private final long queuedAt;

        /** Whether an attempt was not answered, so that the store may have applied the write. */
        private boolean possiblyApplied;

        PendingWrite(String job, long version, byte[] open, byte[] closed, Consumer<Result> receiver, long queuedAt) {
            this.job = job;
            this.expectedVersion = version;
            this.openRecord = open;
            this.closedRecord = closed;
            this.receiver = receiver;
            this.queuedAt = queuedAt;
        }

        boolean isInsert() {
            return expectedVersion == 0;
        }
    }

    /** Writes to one part of the tables, sent in one transaction at a time. */
    private final class PartQueue {
        private final String part;
        private final RetryBackoff backoff;
        private final Deque<PendingWrite> waiting = new ArrayDeque<>();
        private boolean transactionInFlight;
        private boolean retryScheduled;
        /** Reason of the latest failure. */
        private String failureReason = "";

        PartQueue(String part, RetryBackoff backoff) {
            this.part = part;
            this.backoff = backoff;
        }

        /** Adds a write; during the delay before a retry it waits too, else the delay would not relieve the store. */
        void add(PendingWrite pending) {
            waiting.add(pending);
            if (!retryScheduled) {
                sendNextBatch();
            } else if (pending.isInsert()) {
                loop.after(MAXIMUM_WAIT_MILLISECONDS, () -> refuseExpired(failureReason));
            }
        }

        private void sendNextBatch() {
            if (transactionInFlight || waiting.isEmpty()) {
                return;
            }
            List<PendingWrite> batch = new ArrayList<>();
            Map<RecordKey, Long> checks = new HashMap<>();
            Map<RecordKey, byte[]> puts = new HashMap<>();
            List<RecordKey> removes = new ArrayList<>();
            while (batch.size() < MAXIMUM_BATCH_WRITES && !waiting.isEmpty()) {
                PendingWrite next = waiting.peek();
                RecordKey open = new RecordKey(OPEN_TABLE, part, next.job);
                RecordKey closed = new RecordKey(CLOSED_TABLE, part, next.job);
                // A second write of the same job needs the version that results from the first one.
                if (checks.containsKey(open)) {
                    break;
                }
                batch.add(waiting.poll());
                checks.put(open, next.expectedVersion);
                // A caller may submit a job again after the job has finished; it must not run again.
                if (next.isInsert()) {
                    checks.put(closed, 0L);
                }
                if (next.closedRecord != null) {
                    removes.add(open);
                    puts.put(closed, next.closedRecord);
                } else {
                    puts.put(open, next.openRecord);
                }
            }
            transactionInFlight = true;
            long sentAt = loop.monotonicMilliseconds();
            store.transact(new RecordTransaction(checks, puts, removes), outcome -> {
                transactionInFlight = false;
                loop.log().duration("store-write", loop.monotonicMilliseconds() - sentAt);
                handleOutcome(batch, outcome);
            });
        }

        private void handleOutcome(List<PendingWrite> batch, WriteOutcome outcome) {
            switch (outcome) {
                case WriteOutcome.Committed committed -> {
                    backoff.reset();
                    storeFailingSince = Long.MAX_VALUE;
                    try {
                        deliver(batch, pending -> new Result.Stored(committed.version()));
                    } finally {
                        sendNextBatch();
                    }
                }
                case WriteOutcome.Conflicted conflicted -> {
                    backoff.reset();
                    storeFailingSince = Long.MAX_VALUE;
                    try {
                        resolveConflict(batch, conflicted.current());
                    } finally {
                        sendNextBatch();
                    }
                }
                case WriteOutcome.Refused refused -> {
                    recordFailure(EventName.STORE_REFUSED, refused.reason(), batch.size());
                    requeue(batch);
                    scheduleRetry(refused.reason());
                    refuseExpired(refused.reason());
                }
                case WriteOutcome.Unconfirmed unconfirmed -> {
                    recordFailure(EventName.STORE_DOUBTFUL, unconfirmed.reason(), batch.size());
                    batch.forEach(pending -> pending.possiblyApplied = true);
                    requeue(batch);
                    scheduleRetry(unconfirmed.reason());
                    refuseExpired(unconfirmed.reason());
                }
            }
        }

        /** Repeats the writes after a delay, and refuses new jobs that have waited too long by then. */
        private void scheduleRetry(String reason) {
            failureReason = reason;
            loop.after(MAXIMUM_WAIT_MILLISECONDS, () -> refuseExpired(reason));
            if (!retryScheduled) {
                retryScheduled = true;
                loop.after(backoff.nextDelayMilliseconds(), () -> {
                    retryScheduled = false;
                    sendNextBatch();
                });
            }
        }

        /** Returns whether a new job that is certainly not stored has waited too long. */
        private boolean isExpired(PendingWrite pending) {
            return pending.isInsert()
                    && !pending.possiblyApplied
                    && loop.monotonicMilliseconds() - pending.queuedAt >= MAXIMUM_WAIT_MILLISECONDS;
        }

        private void refuseExpired(String reason) {
            List<PendingWrite> expired =
                    waiting.stream().filter(this::isExpired).toList();
            waiting.removeAll(expired);
            deliver(expired, pending -> new Result.Refused(reason));
        }

        /** Gives each write its outcome, and then throws the exceptions of the receivers. */
        private void deliver(Collection<PendingWrite> writes, Function<PendingWrite, Result> outcomes) {
            List<RuntimeException> failures = new ArrayList<>();
            for (PendingWrite pending : writes) {
                try {
                    pending.receiver.accept(outcomes.apply(pending));
                } catch (RuntimeException e) {
                    failures.add(e);
                }
            }
            if (!failures.isEmpty()) {
                RuntimeException first = failures.removeFirst();
                failures.forEach(first::addSuppressed);
                throw first;
            }
        }

        private void recordFailure(EventName event, String reason, int writes) {
            storeFailingSince = Math.min(storeFailingSince, loop.monotonicMilliseconds());
            lastStoreFailureAt = loop.monotonicMilliseconds();
            loop.log().event(event, EventKey.PART, part, EventKey.WRITES, writes, EventKey.REASON, reason);
            loop.log().count(event.label());
        }

        private void requeue(List<PendingWrite> batch) {
            for (int index = batch.size() - 1; index >= 0; index--) {
                waiting.addFirst(batch.get(index));
            }
        }

        /**
         * Determines the outcome of each write of a batch after a failed check. Writes whose own checks still hold are
         * sent again; a write whose bytes are stored was applied by an earlier, unanswered attempt.
         */
        private void resolveConflict(List<PendingWrite> batch, List<StoredRecord> current) {
            Map<RecordKey, StoredRecord> known = new HashMap<>();
            current.forEach(stored -> known.put(stored.key(), stored));
            List<PendingWrite> retried = new ArrayList<>();
            Map<PendingWrite, Result> results = new LinkedHashMap<>();
            for (PendingWrite pending : batch) {
                StoredRecord open = known.get(new RecordKey(OPEN_TABLE, part, pending.job));
                StoredRecord closed = known.get(new RecordKey(CLOSED_TABLE, part, pending.job));
                long version = open == null ? 0 : open.version();
                if (version == pending.expectedVersion && (!pending.isInsert() || closed == null)) {
                    retried.add(pending);
                } else if (pending.openRecord != null
                        && open != null
                        && Arrays.equals(open.value(), pending.openRecord)) {
                    results.put(pending, new Result.Stored(version));
                } else {
                    results.put(pending, new Result.Conflicted(open, closed));
                }
            }
            requeue(retried);
            deliver(results.keySet(), results::get);
        }
    }
}
