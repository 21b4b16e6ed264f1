package io.caperturn.store;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

/** In-memory store whose calls can be made to fail. */
public final class FakePlatformStore implements PlatformStore {
    /** Failure of one call with writes. */
    public enum Fault {
        /** No failure. */
        NONE,
        /** Refused; nothing is written. */
        REFUSED,
        /** Refused because of the limit on writes; nothing is written. */
        LIMITED,
        /** No reply; nothing is written. */
        REPLY_LOST_BEFORE_COMMIT,
        /** No reply; the writes are committed. */
        REPLY_LOST_AFTER_COMMIT
    }

    private final Map<RowKey, StoreRow> rows = new ConcurrentHashMap<>();
    private final Deque<Fault> faults = new ConcurrentLinkedDeque<>();
    private final List<Transaction> writeTransactions = new CopyOnWriteArrayList<>();
    /** Permits for calls with writes; all are withdrawn while writes are blocked. */
    private final Semaphore writePermits = new Semaphore(Integer.MAX_VALUE / 2);

    private final AtomicInteger readCount = new AtomicInteger();
    private volatile Fault defaultFault = Fault.NONE;
    private volatile boolean down;

    /** Makes the next calls with writes fail, each with one of the faults in order. */
    public void failNext(List<Fault> next) {
        faults.addAll(next);
    }

    /** Sets the fault of every call with writes to which {@link #failNext} assigns none. */
    public void failAlways(Fault fault) {
        defaultFault = fault;
    }

    /** Sets whether every call is refused, reads included. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Blocks calls with writes until {@link #unblockWrites}. */
    public void blockWrites() {
        writePermits.drainPermits();
    }

    /** Unblocks calls with writes. */
    public void unblockWrites() {
        writePermits.release(Integer.MAX_VALUE / 2);
    }

    /** Returns the number of calls with writes that wait for {@link #unblockWrites}. */
    public int blockedWrites() {
        return writePermits.getQueueLength();
    }

    /** Returns the transactions with writes received so far. */
    public List<Transaction> writeTransactions() {
        return writeTransactions;
    }

    /** Returns the number of calls without writes received so far, including refused ones. */
    public int readCount() {
        return readCount.get();
    }

    /** Writes a row without a condition. */
    public synchronized void put(RowKey key, String value) {
        rows.put(key, new StoreRow(key, row(key).version() + 1, Optional.of(value)));
    }

    /** Returns the current state of a row, with version 0 if it does not exist. */
    public synchronized StoreRow row(RowKey key) {
        return rows.getOrDefault(key, new StoreRow(key, 0, Optional.empty()));
    }

    @Override
    public StoreResult transact(Transaction transaction) {
        if (transaction.writes().isEmpty()) {
            readCount.incrementAndGet();
        }
        if (down) {
            return new StoreResult.Unavailable("down");
        }
        if (transaction.writes().isEmpty()) {
            return commit(transaction);
        }
        writeTransactions.add(transaction);
        writePermits.acquireUninterruptibly();
        writePermits.release();
        Fault next = faults.poll();
        return switch (next == null ? defaultFault : next) {
            case NONE -> commit(transaction);
            case REFUSED -> new StoreResult.Unavailable("refused");
            case LIMITED -> new StoreResult.RateLimited("limited");
            case REPLY_LOST_BEFORE_COMMIT -> new StoreResult.Unknown("lost before");
            case REPLY_LOST_AFTER_COMMIT -> {
                commit(transaction);
                yield new StoreResult.Unknown("lost after");
            }
        };
    }

    private synchronized StoreResult commit(Transaction transaction) {
        boolean conditionsHold =
                transaction.writes().stream().allMatch(write -> row(write.key()).version() == write.expectedVersion());
        if (!conditionsHold) {
            return new StoreResult.Conflict(
                    transaction.writes().stream().map(write -> row(write.key())).toList());
        }
        for (Write write : transaction.writes()) {
            write.value().ifPresentOrElse(value -> put(write.key(), value), () -> rows.remove(write.key()));
        }
        return new StoreResult.Committed(
                transaction.reads().stream().map(this::row).toList());
    }

    @Override
    public synchronized StoreResult scan(String table, String afterKey, int limit) {
        if (down) {
            return new StoreResult.Unavailable("down");
        }
        List<StoreRow> found = new ArrayList<>(rows.values());
        return new StoreResult.Committed(found.stream()
                .filter(row ->
                        row.key().table().equals(table) && row.key().key().compareTo(afterKey) > 0)
                .sorted(Comparator.comparing(row -> row.key().key()))
                .limit(limit)
                .toList());
    }

    @Override
    public void close() {
        down = true;
    }
}
