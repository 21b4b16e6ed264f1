package io.caperturn.jobs.record;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.DecisionLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Copy of one table's unnamed part that follows the store: read whole, then kept by changes, and read whole again when
 * the store no longer has the changes.
 */
public final class TableFollower {
    /**
     * Pause after a call that failed, in milliseconds: short against the second that an edit may take to be in force.
     */
    static final long RETRY_MILLISECONDS = 250;

    private final RecordStore store;
    private final DecisionLoop loop;
    private final String table;
    private final Listener listener;
    private final Map<String, StoredRecord> records = new HashMap<>();
    private long version;
    private boolean reached;
    private boolean stopped;
    private long confirmedAt = Long.MIN_VALUE;

    /**
     * Creates a follower that does nothing yet.
     *
     * @param store the store
     * @param loop the loop on which all calls come
     * @param table the table
     * @param listener receiver of changes
     */
    public TableFollower(RecordStore store, DecisionLoop loop, String table, Listener listener) {
        this.store = store;
        this.loop = loop;
        this.table = table;
        this.listener = listener;
    }

    /** Begins with reading the whole table. */
    public void start() {
        readWhole("", new HashMap<>());
    }

    /**
     * Gives the records as last known.
     *
     * @return records by name, not to be changed
     */
    public Map<String, StoredRecord> records() {
        return records;
    }

    /**
     * Tells when the store last answered.
     *
     * @return the loop's time, or {@link Long#MIN_VALUE} if it never did
     */
    public long confirmedAt() {
        return confirmedAt;
    }

    /** Follows no longer. */
    public void stop() {
        stopped = true;
    }

    private void readWhole(String from, Map<String, StoredRecord> found) {
        store.read(table, "", from, "", outcome -> {
            if (stopped) {
                return;
            }
            switch (outcome) {
                case RecordStore.ReadOutcome.Found page -> {
                    page.records().forEach(stored -> found.put(stored.key().name(), stored));
                    if (page.more()) {
                        readWhole(page.records().getLast().key().name() + '\0', found);
                    } else {
                        replace(found, page.version());
                    }
                }
                case RecordStore.ReadOutcome.Failed failed -> {
                    lost(failed.reason());
                    loop.after(RETRY_MILLISECONDS, this::start);
                }
            }
        });
    }

    private void replace(Map<String, StoredRecord> found, long newVersion) {
        regained(newVersion);
        Set<String> gone = new HashSet<>(records.keySet());
        gone.removeAll(found.keySet());
        gone.forEach(name -> {
            records.remove(name);
            listener.removed(name);
        });
        found.forEach((name, stored) -> {
            StoredRecord known = records.get(name);
            if (known == null || known.version() < stored.version()) {
                records.put(name, stored);
                listener.changed(stored);
            }
        });
        version = newVersion;
        listener.caughtUp();
        follow();
    }

    private void follow() {
        store.follow(table, version, outcome -> {
            if (stopped) {
                return;
            }
            switch (outcome) {
                case RecordStore.FollowOutcome.Changed changed -> {
                    regained(changed.version());
                    apply(changed.records());
                    version = Math.max(version, changed.version());
                    follow();
                }
                case RecordStore.FollowOutcome.HistoryLost ignored -> start();
                case RecordStore.FollowOutcome.Failed failed -> {
                    lost(failed.reason());
                    loop.after(RETRY_MILLISECONDS, this::follow);
                }
            }
        });
    }

    private void apply(List<StoredRecord> changes) {
        for (StoredRecord change : changes) {
            String name = change.key().name();
            if (change.removed()) {
                if (records.remove(name) != null) {
                    listener.removed(name);
                }
            } else {
                records.put(name, change);
                listener.changed(change);
            }
        }
        if (!changes.isEmpty()) {
            listener.caughtUp();
        }
    }

    private void lost(String reason) {
        if (reached) {
            reached = false;
            loop.log()
                    .event(
                            EventName.STORE_LOST,
                            EventKey.TABLE,
                            table,
                            EventKey.REASON,
                            reason,
                            EventKey.VERSION,
                            version);
        }
    }

    private void regained(long newVersion) {
        confirmedAt = loop.monotonicMilliseconds();
        if (!reached) {
            reached = true;
            loop.log().event(EventName.STORE_REACHED, EventKey.TABLE, table, EventKey.VERSION, newVersion);
        }
    }

    /** Receiver of changes of a table. */
    public interface Listener {
        /**
         * A record is new or has changed.
         *
         * @param stored the record
         */
        void changed(StoredRecord stored);

        /**
         * A record is gone.
         *
         * @param name its name
         */
        void removed(String name);

        /** All changes of one answer have been told. */
        default void caughtUp() {}
    }
}
