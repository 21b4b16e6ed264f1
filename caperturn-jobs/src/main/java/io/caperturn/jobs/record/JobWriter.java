package io.caperturn.jobs.record;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.ClosedRecord;
import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.record.RecordStore.WriteOutcome;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Writer of jobs in groups: while one transaction of a part is under way, what comes in waits for the next.
 *
 * <p>A write without an answer is tried again under the same condition until the outcome is known: the condition lets
 * only one of the two through, and the stored bytes tell whose it was.
 */
public final class JobWriter {
    /** Table of jobs that are not over. */
    public static final String OPEN_TABLE = "caperturn-open";
    /** Table of jobs that are over. */
    public static final String CLOSED_TABLE = "caperturn-closed";
    /** Number of parts over which jobs are spread; a part takes some hundred transactions a second, one by one. */
    public static final int PARTS = 4;

    /** Most writes in a transaction: each has up to three entries, and the store takes a hundred. */
    private static final int LARGEST_GROUP = 30;
    /** Pause before a write is tried again, in milliseconds. */
    private static final long RETRY_MILLISECONDS = 50;
    /** Longest time that a new job waits for a store that refuses, in milliseconds: its caller can ask elsewhere. */
    private static final long PATIENCE_MILLISECONDS = 150;

    /** Time after the last failure at which a new job may try the store again, in milliseconds. */
    private static final long PROBE_MILLISECONDS = 400;

    private final RecordStore store;
    private final DecisionLoop loop;
    private final Lane[] lanes = new Lane[PARTS];
    private long failingSince = Long.MAX_VALUE;
    private long lastFailure = Long.MIN_VALUE / 2;

    /**
     * Creates a writer with nothing to do.
     *
     * @param store the store
     * @param loop the loop on which all calls come
     */
    public JobWriter(RecordStore store, DecisionLoop loop) {
        this.store = store;
        this.loop = loop;
        Arrays.setAll(lanes, number -> new Lane(partName(number)));
    }

    /**
     * Names the part in which a job lies.
     *
     * @param job identity of the job
     * @return the part
     */
    public static String partOf(String job) {
        return partName(Math.floorMod(job.hashCode(), PARTS));
    }

    /**
     * Names a part.
     *
     * @param number its number, from 0
     * @return the part
     */
    public static String partName(int number) {
        return "p" + number;
    }

    /**
     * Tells whether a new job has a fair chance to be stored at once.
     *
     * @return false while calls fail or go unanswered; now and then true, so that a write finds out
     */
    public boolean isStoreResponsive() {
        long now = loop.monotonicMilliseconds();
        return failingSince > now - PATIENCE_MILLISECONDS || lastFailure < now - PROBE_MILLISECONDS;
    }

    /**
     * Stores a new job, unless one of that identity exists or existed.
     *
     * @param job identity of the job
     * @param content the job
     * @param receiver receiver of the outcome
     */
    public void insert(String job, JobRecord content, Consumer<Result> receiver) {
        add(new Pending(job, 0, content.toBytes(), null, receiver, loop.monotonicMilliseconds()));
    }

    /**
     * Replaces a stored job, if nobody else has changed it.
     *
     * @param job identity of the job
     * @param version version of the stored job that is replaced
     * @param content the job
     * @param receiver receiver of the outcome
     */
    public void update(String job, long version, JobRecord content, Consumer<Result> receiver) {
        add(new Pending(job, version, content.toBytes(), null, receiver, loop.monotonicMilliseconds()));
    }

    /**
     * Moves a job to those that are over, if nobody else has changed it.
     *
     * @param job identity of the job
     * @param version version of the stored job
     * @param end how it ended
     * @param receiver receiver of the outcome
     */
    public void close(String job, long version, ClosedRecord end, Consumer<Result> receiver) {
        add(new Pending(job, version, null, end.toBytes(), receiver, loop.monotonicMilliseconds()));
    }

    private void add(Pending pending) {
        Lane lane = lanes[Math.floorMod(pending.job.hashCode(), PARTS)];
        lane.waiting.add(pending);
        lane.advance();
    }

    /** What became of one write. */
    public sealed interface Result {
        /**
         * It is stored.
         *
         * @param version version of the stored job
         */
        record Stored(long version) implements Result {}

        /**
         * Another write came first.
         *
         * @param open the job as it is stored, or null if it is not among those that are not over
         * @param closed its end as it is stored, or null if there is none
         */
        record Conflicted(StoredRecord open, StoredRecord closed) implements Result {}

        /**
         * It is not stored and never will be.
         *
         * @param reason why
         */
        record Refused(String reason) implements Result {}
    }

    private static final class Pending {
        private final String job;
        private final long version;
        private final byte[] open;
        private final byte[] closed;
        private final Consumer<Result> receiver;
        private final long since;
        private boolean doubtful;

        Pending(String job, long version, byte[] open, byte[] closed, Consumer<Result> receiver, long since) {
            this.job = job;
            this.version = version;
            this.open = open;
            this.closed = closed;
            this.receiver = receiver;
            this.since = since;
        }

        boolean isInsert() {
            return version == 0;
        }
    }

    private final class Lane {
        private final String part;
        private final Deque<Pending> waiting = new ArrayDeque<>();
        private boolean busy;

        Lane(String part) {
            this.part = part;
        }

        void advance() {
            if (busy || waiting.isEmpty()) {
                return;
            }
            List<Pending> group = new ArrayList<>();
            Map<RecordKey, Long> checks = new HashMap<>();
            Map<RecordKey, byte[]> puts = new HashMap<>();
            List<RecordKey> removes = new ArrayList<>();
            while (group.size() < LARGEST_GROUP && !waiting.isEmpty()) {
                Pending next = waiting.peek();
                RecordKey open = new RecordKey(OPEN_TABLE, part, next.job);
                RecordKey closed = new RecordKey(CLOSED_TABLE, part, next.job);
                if (checks.containsKey(open)) {
                    break;
                }
                group.add(waiting.poll());
                checks.put(open, next.version);
                if (next.isInsert()) {
                    checks.put(closed, 0L);
                }
                if (next.closed != null) {
                    removes.add(open);
                    puts.put(closed, next.closed);
                } else {
                    puts.put(open, next.open);
                }
            }
            busy = true;
            long sent = loop.monotonicMilliseconds();
            store.transact(new RecordTransaction(checks, puts, removes), outcome -> {
                busy = false;
                loop.log().duration("store-write", loop.monotonicMilliseconds() - sent);
                settle(group, outcome);
            });
        }

        private void settle(List<Pending> group, WriteOutcome outcome) {
            switch (outcome) {
                case WriteOutcome.Committed committed -> {
                    failingSince = Long.MAX_VALUE;
                    group.forEach(pending -> pending.receiver.accept(new Result.Stored(committed.version())));
                    advance();
                }
                case WriteOutcome.Conflicted conflicted -> {
                    failingSince = Long.MAX_VALUE;
                    resolve(group, conflicted.current());
                    advance();
                }
                case WriteOutcome.Refused refused -> {
                    failed(EventName.STORE_REFUSED, refused.reason(), group.size());
                    List<Pending> given = new ArrayList<>();
                    List<Pending> kept = new ArrayList<>();
                    group.forEach(pending -> (gaveUp(pending) ? given : kept).add(pending));
                    requeue(kept);
                    given.forEach(pending -> pending.receiver.accept(new Result.Refused(refused.reason())));
                    refuseImpatient(refused.reason());
                    loop.after(RETRY_MILLISECONDS, this::advance);
                }
                case WriteOutcome.Unconfirmed doubtful -> {
                    failed(EventName.STORE_DOUBTFUL, doubtful.reason(), group.size());
                    group.forEach(pending -> pending.doubtful = true);
                    requeue(group);
                    refuseImpatient(doubtful.reason());
                    loop.after(1, this::advance);
                }
            }
        }

        private boolean gaveUp(Pending pending) {
            return pending.isInsert() && !pending.doubtful && loop.monotonicMilliseconds() - pending.since >= PATIENCE_MILLISECONDS;
        }

        private void refuseImpatient(String reason) {
            List<Pending> given = waiting.stream().filter(this::gaveUp).toList();
            waiting.removeAll(given);
            given.forEach(pending -> pending.receiver.accept(new Result.Refused(reason)));
        }

        private void failed(EventName event, String reason, int writes) {
            failingSince = Math.min(failingSince, loop.monotonicMilliseconds());
            lastFailure = loop.monotonicMilliseconds();
            loop.log().event(event, EventKey.PART, part, EventKey.WRITES, writes, EventKey.REASON, reason);
            loop.log().count(event.label());
        }

        private void requeue(List<Pending> group) {
            for (int index = group.size() - 1; index >= 0; index--) {
                waiting.addFirst(group.get(index));
            }
        }

        private void resolve(List<Pending> group, List<StoredRecord> current) {
            Map<RecordKey, StoredRecord> known = new HashMap<>();
            current.forEach(stored -> known.put(stored.key(), stored));
            List<Pending> again = new ArrayList<>();
            List<Runnable> told = new ArrayList<>();
            for (Pending pending : group) {
                StoredRecord open = known.get(new RecordKey(OPEN_TABLE, part, pending.job));
                StoredRecord closed = known.get(new RecordKey(CLOSED_TABLE, part, pending.job));
                long version = open == null ? 0 : open.version();
                if (version == pending.version && (!pending.isInsert() || closed == null)) {
                    again.add(pending);
                } else if (pending.open != null && open != null && Arrays.equals(open.value(), pending.open)) {
                    told.add(() -> pending.receiver.accept(new Result.Stored(version)));
                } else {
                    told.add(() -> pending.receiver.accept(new Result.Conflicted(open, closed)));
                }
            }
            requeue(again);
            told.forEach(Runnable::run);
        }
    }
}
