package io.caperturn.jobs.record;

import java.util.List;
import java.util.function.Consumer;

/**
 * Port to a transactional store of records; each call is answered exactly once, on the event loop of the caller.
 *
 * <p>Its tables are divided into parts (partitions). Each transaction raises the version of the store.
 */
public interface RecordStore {
    /**
     * Applies a transaction if all its checks hold.
     *
     * @param transaction the checks and changes
     * @param receiver receiver of the outcome
     */
    void transact(RecordTransaction transaction, Consumer<WriteOutcome> receiver);

    /**
     * Reads records of one part in the order of their names.
     *
     * @param table the table
     * @param part the part
     * @param from lower bound of the names, inclusive; empty for the start of the part
     * @param until upper bound of the names, exclusive; empty for the end of the part
     * @param receiver receiver of the outcome
     */
    void read(String table, String part, String from, String until, Consumer<ReadOutcome> receiver);

    /**
     * Waits for changes of a table that are newer than a version, for a limited time.
     *
     * @param table the table
     * @param afterVersion version of the store; only changes after it are wanted
     * @param waitMilliseconds how long the store waits for a change before it answers without one, in milliseconds
     * @param receiver receiver of the outcome
     */
    void follow(String table, long afterVersion, long waitMilliseconds, Consumer<FollowOutcome> receiver);

    /** Outcome of a transaction. */
    sealed interface WriteOutcome {
        /**
         * The changes were applied.
         *
         * @param version version of the written records
         */
        record Committed(long version) implements WriteOutcome {}

        /**
         * A check failed, and no change was applied.
         *
         * @param current the checked records, except those that do not exist
         */
        record Conflicted(List<StoredRecord> current) implements WriteOutcome {}

        /**
         * The store refused the transaction, and no change was applied.
         *
         * @param reason reason of the refusal
         */
        record Refused(String reason) implements WriteOutcome {}

        /**
         * No answer arrived: the changes may have been applied, or may still be applied later.
         *
         * @param reason description of the fault
         */
        record Unconfirmed(String reason) implements WriteOutcome {}
    }

    /** Outcome of a read. */
    sealed interface ReadOutcome {
        /**
         * Records of a consistent snapshot.
         *
         * @param records the records
         * @param more whether further records follow the last one
         * @param version newest version of the store in the snapshot
         */
        record Found(List<StoredRecord> records, boolean more, long version) implements ReadOutcome {}

        /**
         * The read failed.
         *
         * @param reason description of the fault
         */
        record Failed(String reason) implements ReadOutcome {}
    }

    /** Outcome of following a table. */
    sealed interface FollowOutcome {
        /**
         * The wait has ended.
         *
         * @param records the changed records in the order of their changes; empty if the time passed without a change
         * @param version version from which to continue
         */
        record Changed(List<StoredRecord> records, long version) implements FollowOutcome {}

        /** The store no longer retains the changes after the version; the whole table has to be read again. */
        record HistoryLost() implements FollowOutcome {}

        /**
         * The call failed.
         *
         * @param reason description of the fault
         */
        record Failed(String reason) implements FollowOutcome {}
    }
}
