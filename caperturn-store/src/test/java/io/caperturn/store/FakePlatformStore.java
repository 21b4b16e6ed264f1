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

/** Store in memory that fails as told. */
public final class FakePlatformStore implements PlatformStore {
    /** How one call with writes fails. */
    public enum Fault {
        /** It does not. */
        NONE,
        /** Refused before any effect. */
        REFUSED,
        /** Refused before any effect because of too many writes. */
        LIMITED,
        /** No reply, and no effect. */
        LOST_BEFORE,
        /** No reply, after the effect. */
        LOST_AFTER
    }

    private final Map<RowKey, Row> rows = new ConcurrentHashMap<>();
    private final Deque<Fault> faults = new ConcurrentLinkedDeque<>();
    private final List<Transaction> writes = new CopyOnWriteArrayList<>();
    private final Semaphore gate = new Semaphore(Integer.MAX_VALUE / 2);
    private final AtomicInteger reads = new AtomicInteger();
    private volatile Fault lasting = Fault.NONE;
    private volatile boolean down;

    /** Lets the next calls with writes fail, one fault each. */
    public void failNext(List<Fault> next) {
        faults.addAll(next);
    }

    /** Lets every call with writes fail from now on. */
    public void failAlways(Fault fault) {
        lasting = fault;
    }

    /** Refuses every call, reads included, or no longer does. */
    public void setDown(boolean isDown) {
        down = isDown;
    }

    /** Holds back calls with writes until {@link #release}. */
    public void hold() {
        gate.drainPermits();
    }

    /** Lets calls with writes go on. */
    public void release() {
        gate.release(Integer.MAX_VALUE / 2);
    }

    /** Returns how many calls with writes wait for {@link #release}. */
    public int held() {
        return gate.getQueueLength();
    }

    /** Returns the calls with writes so far. */
    public List<Transaction> writes() {
        return writes;
    }

    /** Returns how many calls without writes came so far, refused ones included. */
    public int reads() {
        return reads.get();
    }

    /** Puts a row in place. */
    public synchronized void put(RowKey key, String value) {
        rows.put(key, new Row(key, row(key).version() + 1, Optional.of(value)));
    }

    /** Returns a row as it is. */
    public synchronized Row row(RowKey key) {
        return rows.getOrDefault(key, new Row(key, 0, Optional.empty()));
    }

    @Override
    public StoreResult transact(Transaction transaction) {
        if (transaction.writes().isEmpty()) {
            reads.incrementAndGet();
        }
        if (down) {
            return new StoreResult.Unavailable("down");
        }
        if (transaction.writes().isEmpty()) {
            return commit(transaction);
        }
        writes.add(transaction);
        gate.acquireUninterruptibly();
        gate.release();
        Fault next = faults.poll();
        return switch (next == null ? lasting : next) {
            case NONE -> commit(transaction);
            case REFUSED -> new StoreResult.Unavailable("refused");
            case LIMITED -> new StoreResult.Limited("limited");
            case LOST_BEFORE -> new StoreResult.Unknown("lost before");
            case LOST_AFTER -> {
                commit(transaction);
                yield new StoreResult.Unknown("lost after");
            }
        };
    }

    private synchronized StoreResult commit(Transaction transaction) {
        boolean holds =
                transaction.writes().stream().allMatch(write -> row(write.key()).version() == write.expectedVersion());
        if (!holds) {
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
        List<Row> found = new ArrayList<>(rows.values());
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
