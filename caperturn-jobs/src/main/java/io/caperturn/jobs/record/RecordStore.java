package io.caperturn.jobs.record;

import java.util.List;
import java.util.function.Consumer;

/** Port to a transactional store of records; each call answers once, on the thread of the caller's loop. */
public interface RecordStore {
    /**
     * Makes changes under conditions.
     *
     * @param transaction the changes
     * @param receiver receiver of the outcome
     */
    void transact(RecordTransaction transaction, Consumer<WriteOutcome> receiver);

    /**
     * Reads records of one part in the order of their names.
     *
     * @param table the table
     * @param part the part
     * @param from first name, included; empty for the beginning
     * @param until last name, excluded; empty for the end
     * @param receiver receiver of the outcome
     */
    void read(String table, String part, String from, String until, Consumer<ReadOutcome> receiver);

    /**
     * Waits for changes of a table after a version.
     *
     * @param table the table
     * @param afterVersion the version
     * @param receiver receiver of the outcome
     */
    void follow(String table, long afterVersion, Consumer<FollowOutcome> receiver);

    /** What became of a transaction. */
    sealed interface WriteOutcome {
        /**
         * The changes are stored.
         *
         * @param version version that the written records have
         */
        record Committed(long version) implements WriteOutcome {}

        /**
         * A check failed, and nothing was changed.
         *
         * @param current the checked records that exist
         */
        record Conflicted(List<StoredRecord> current) implements WriteOutcome {}

        /**
         * The store refused, and nothing was changed.
         *
         * @param reason why
         */
        record Refused(String reason) implements WriteOutcome {}

        /**
         * No answer came: the changes may have been made, or may be made later.
         *
         * @param reason what was seen
         */
        record Unconfirmed(String reason) implements WriteOutcome {}
    }

    /** What a read gave. */
    sealed interface ReadOutcome {
        /**
         * Records as of one moment.
         *
         * @param records the records
         * @param more whether records after the last were left out
         * @param version newest version of the store at that moment
         */
        record Found(List<StoredRecord> records, boolean more, long version) implements ReadOutcome {}

        /**
         * Nothing is known.
         *
         * @param reason what was seen
         */
        record Failed(String reason) implements ReadOutcome {}
    }

    /** What following a table gave. */
    sealed interface FollowOutcome {
        /**
         * Changes in their order; none if the wait ended first.
         *
         * @param records the records changed
         * @param version version to go on from
         */
        record Changed(List<StoredRecord> records, long version) implements FollowOutcome {}

        /** The store no longer has the changes; the table has to be read anew. */
        record HistoryLost() implements FollowOutcome {}

        /**
         * Nothing is known.
         *
         * @param reason what was seen
         */
        record Failed(String reason) implements FollowOutcome {}
    }
}
