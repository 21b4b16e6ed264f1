package io.caperturn.jobs.record;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.UnexpectedExceptions;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;

/**
 * Local replica of a table whose records are all in the part (partition) with the empty name. Reads the table once,
 * then applies changes, and reads it again if the store no longer retains the next changes.
 */
public final class TableFollower {
    /** Limit of the first delay after a failed call, in milliseconds. */
    private static final long FIRST_RETRY_MILLISECONDS = 250;
    /**
     * Limit of the delays after failed calls, in milliseconds: short compared with the seconds within which an
     * operator's edit of a table must take effect, and with the time for which a machine may be out of touch.
     */
    private static final long LAST_RETRY_MILLISECONDS = 500;

    private final RecordStore store;
    private final DecisionLoop loop;
    private final String table;
    private final Listener listener;
    private final FollowPace pace;
    private final StoreRetryBudget retries;
    private final RetryBackoff backoff;
    private final Map<String, StoredRecord> records = new HashMap<>();
    /** Version of the store up to which the replica is complete. */
    private long replicaVersion;

    /** Whether the history was lost since the store last told of changes. */
    private boolean historyLost;

    /** Whether the next call waits for a pause to end. */
    private boolean paused;
    /** Number of the latest pause, by which the timer of an earlier one is recognized. */
    private long pauseNumber;

    private boolean storeReachable;
    private boolean stopped;
    /** When the store last answered, in milliseconds of the loop's clock. */
    private long lastAnswerAt = Long.MIN_VALUE;

    /**
     * Creates a follower; it does nothing until it is started.
     *
     * @param store the store
     * @param loop the loop on which all calls are made
     * @param table the table
     * @param listener receiver of changes
     * @param pace when to ask for the next changes; used by this follower alone
     * @param retries the budget of this process for repeated calls
     */
    public TableFollower(
            RecordStore store,
            DecisionLoop loop,
            String table,
            Listener listener,
            FollowPace pace,
            StoreRetryBudget retries) {
        this.store = store;
        this.loop = loop;
        this.table = table;
        this.listener = listener;
        this.pace = pace;
        this.retries = retries;
        this.backoff = retries.newBackoff(FIRST_RETRY_MILLISECONDS, LAST_RETRY_MILLISECONDS);
    }

    /** Starts following with a read of the whole table. */
    public void start() {
        if (!stopped) {
            readAll(/* from= */ "", new HashMap<>(), OptionalLong.empty());
        }
    }

    /** Ends a pause in which changes are gathered, since a decision waits for them; shortens the next one. */
    public void hasten() {
        pace.recordQuiet();
        if (paused) {
            follow();
        }
    }

    /**
     * Returns the records as last known.
     *
     * @return records by name, not to be modified
     */
    public Map<String, StoredRecord> records() {
        return records;
    }

    /**
     * Returns when the store last answered.
     *
     * @return time in milliseconds of the loop's clock, or {@link Long#MIN_VALUE} if it has never answered
     */
    public long lastAnswerAt() {
        return lastAnswerAt;
    }

    /**
     * Returns the version of the store up to which the replica is complete.
     *
     * @return the version, or 0 before the first read has ended
     */
    public long replicaVersion() {
        return replicaVersion;
    }

    /** Stops following; answers that arrive later are ignored. */
    public void stop() {
        stopped = true;
    }

    /**
     * Reads the table from a name on, page by page, and adds its records to those found before. The replica is complete
     * up to the version of the first page only: a later change may have fallen between two pages.
     */
    private void readAll(String from, Map<String, StoredRecord> found, OptionalLong firstPageVersion) {
        // All records are in the part with the empty name; the read has no upper bound.
        store.read(table, "", from, "", outcome -> {
            if (stopped) {
                return;
            }
            switch (outcome) {
                case RecordStore.ReadOutcome.Found page -> {
                    page.records().forEach(stored -> found.put(stored.key().name(), stored));
                    long version = firstPageVersion.orElse(page.version());
                    if (page.more()) {
                        readAll(page.records().getLast().key().name() + '\0', found, OptionalLong.of(version));
                    } else {
                        replaceReplica(found, version);
                    }
                }
                case RecordStore.ReadOutcome.Failed failed -> {
                    recordFailure(failed.reason());
                    retries.retry(backoff, this::start);
                }
            }
        });
    }

    /** Replaces the replica by a complete read, and reports the differences to the listener. */
    private void replaceReplica(Map<String, StoredRecord> found, long newVersion) {
        recordAnswer(newVersion);
        Set<String> removedNames = new HashSet<>(records.keySet());
        removedNames.removeAll(found.keySet());
        removedNames.forEach(name -> {
            records.remove(name);
            notifyOfRemoval(name);
        });
        found.forEach((name, stored) -> {
            StoredRecord known = records.get(name);
            if (known == null || known.version() < stored.version()) {
                records.put(name, stored);
                notifyOfChange(stored);
            }
        });
        replicaVersion = newVersion;
        notifyOfEnd();
        follow();
    }

    private void follow() {
        if (stopped) {
            return;
        }
        paused = false;
        loop.log().count("store-follow");
        // After a failure the store is to answer at once: the answer confirms that it can be reached again.
        long waitMilliseconds = storeReachable ? pace.waitMilliseconds() : 0;
        store.follow(table, replicaVersion, waitMilliseconds, outcome -> {
            if (stopped) {
                return;
            }
            switch (outcome) {
                case RecordStore.FollowOutcome.Changed changed -> {
                    recordAnswer(changed.version());
                    applyChanges(changed.records());
                    replicaVersion = Math.max(replicaVersion, changed.version());
                    historyLost = false;
                    followAtPace(!changed.records().isEmpty());
                }
                case RecordStore.FollowOutcome.HistoryLost ignored -> {
                    // The store answers, but may forget faster than the table can be read.
                    if (historyLost) {
                        retries.retry(backoff, this::start);
                    } else {
                        historyLost = true;
                        start();
                    }
                }
                case RecordStore.FollowOutcome.Failed failed -> {
                    recordFailure(failed.reason());
                    retries.retry(backoff, this::follow);
                }
            }
        });
    }

    private void followAtPace(boolean afterChange) {
        long pause = 0;
        if (afterChange) {
            pause = pace.pauseAfterChange();
        } else {
            pace.recordQuiet();
        }
        if (pause == 0) {
            follow();
            return;
        }
        paused = true;
        long number = ++pauseNumber;
        loop.after(pause, () -> {
            if (paused && number == pauseNumber) {
                follow();
            }
        });
    }

    private void applyChanges(List<StoredRecord> changes) {
        for (StoredRecord change : changes) {
            String name = change.key().name();
            StoredRecord known = records.get(name);
            // A table that is read page by page may already hold a later state of the record.
            if (known != null && change.version() > 0 && change.version() < known.version()) {
                continue;
            }
            if (change.removed()) {
                if (records.remove(name) != null) {
                    notifyOfRemoval(name);
                }
            } else {
                records.put(name, change);
                notifyOfChange(change);
            }
        }
        if (!changes.isEmpty()) {
            notifyOfEnd();
        }
    }

    /** Notifies the listener; an unexpected exception must neither end following nor keep later records from it. */
    private void notifyOfChange(StoredRecord stored) {
        try {
            listener.handleChange(stored);
        } catch (RuntimeException e) {
            String name = stored.key().name();
            loop.log()
                    .event(
                            EventName.RECORD_UNREADABLE,
                            EventKey.TABLE,
                            table,
                            EventKey.MEMBER,
                            name,
                            EventKey.REASON,
                            e);
        }
    }

    private void notifyOfRemoval(String name) {
        try {
            listener.handleRemoval(name);
        } catch (RuntimeException e) {
            UnexpectedExceptions.record(loop.log(), e, EventKey.TABLE, table, EventKey.MEMBER, name);
        }
    }

    private void notifyOfEnd() {
        try {
            listener.changesApplied();
        } catch (RuntimeException e) {
            UnexpectedExceptions.record(loop.log(), e, EventKey.TABLE, table);
        }
    }

    private void recordFailure(String reason) {
        if (storeReachable) {
            storeReachable = false;
            loop.log()
                    .event(
                            EventName.STORE_LOST,
                            EventKey.TABLE,
                            table,
                            EventKey.REASON,
                            reason,
                            EventKey.VERSION,
                            replicaVersion);
        }
    }

    /** Records that the store has answered, with the version of its answer. */
    private void recordAnswer(long newVersion) {
        lastAnswerAt = loop.monotonicMilliseconds();
        backoff.reset();
        if (!storeReachable) {
            storeReachable = true;
            loop.log().event(EventName.STORE_REACHED, EventKey.TABLE, table, EventKey.VERSION, newVersion);
        }
    }

    /** Listener for changes of a table. */
    public interface Listener {
        /**
         * Called when a record is new or has changed.
         *
         * @param stored the record
         */
        void handleChange(StoredRecord stored);

        /**
         * Called when a record was removed.
         *
         * @param name name of the record
         */
        void handleRemoval(String name);

        /** Called after all changes of one answer have been reported. */
        default void changesApplied() {}
    }
}
