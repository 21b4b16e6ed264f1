package io.caperturn.jobs.record;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Local replica of a table whose records are all in the part (partition) with the empty name. Reads the table once,
 * then applies changes, and reads it again if the store no longer retains the next changes.
 */
public final class TableFollower {
    /**
     * Pause after a failed call, in milliseconds: short compared with the second within which an operator's edit of a
     * table must take effect.
     */
    static final long RETRY_MILLISECONDS = 250;

    private final RecordStore store;
    private final DecisionLoop loop;
    private final String table;
    private final Listener listener;
    private final Map<String, StoredRecord> records = new HashMap<>();
    /** Version of the store up to which the replica is complete. */
    private long replicaVersion;

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
     */
    public TableFollower(RecordStore store, DecisionLoop loop, String table, Listener listener) {
        this.store = store;
        this.loop = loop;
        this.table = table;
        this.listener = listener;
    }

    /** Starts following with a read of the whole table. */
    public void start() {
        readAll(/* from= */ "", new HashMap<>());
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

    /** Stops following; answers that arrive later are ignored. */
    public void stop() {
        stopped = true;
    }

    /** Reads the table from a name on, page by page, and adds its records to those found before. */
    private void readAll(String from, Map<String, StoredRecord> found) {
        // All records are in the part with the empty name; the read has no upper bound.
        store.read(table, "", from, "", outcome -> {
            if (stopped) {
                return;
            }
            switch (outcome) {
                case RecordStore.ReadOutcome.Found page -> {
                    page.records().forEach(stored -> found.put(stored.key().name(), stored));
                    if (page.more()) {
                        readAll(page.records().getLast().key().name() + '\0', found);
                    } else {
                        replaceReplica(found, page.version());
                    }
                }
                case RecordStore.ReadOutcome.Failed failed -> {
                    recordFailure(failed.reason());
                    loop.after(RETRY_MILLISECONDS, this::start);
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
            listener.handleRemoval(name);
        });
        found.forEach((name, stored) -> {
            StoredRecord known = records.get(name);
            if (known == null || known.version() < stored.version()) {
                records.put(name, stored);
                notifyOfChange(stored);
            }
        });
        replicaVersion = newVersion;
        listener.changesApplied();
        follow();
    }

    private void follow() {
        store.follow(table, replicaVersion, outcome -> {
            if (stopped) {
                return;
            }
            switch (outcome) {
                case RecordStore.FollowOutcome.Changed changed -> {
                    recordAnswer(changed.version());
                    applyChanges(changed.records());
                    replicaVersion = Math.max(replicaVersion, changed.version());
                    follow();
                }
                case RecordStore.FollowOutcome.HistoryLost ignored -> start();
                case RecordStore.FollowOutcome.Failed failed -> {
                    recordFailure(failed.reason());
                    loop.after(RETRY_MILLISECONDS, this::follow);
                }
            }
        });
    }

    private void applyChanges(List<StoredRecord> changes) {
        for (StoredRecord change : changes) {
            String name = change.key().name();
            if (change.removed()) {
                if (records.remove(name) != null) {
                    listener.handleRemoval(name);
                }
            } else {
                records.put(name, change);
                notifyOfChange(change);
            }
        }
        if (!changes.isEmpty()) {
            listener.changesApplied();
        }
    }

    /** Notifies the listener; an unexpected exception must not keep later records from being handled. */
    private void notifyOfChange(StoredRecord stored) {
        try {
            listener.handleChange(stored);
        } catch (RuntimeException e) {
            loop.log()
                    .event(
                            EventName.RECORD_UNREADABLE,
                            EventKey.TABLE,
                            table,
                            EventKey.MEMBER,
                            stored.key().name(),
                            EventKey.REASON,
                            e);
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
