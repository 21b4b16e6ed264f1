package io.caperturn.jobs.owner;

import io.caperturn.jobs.record.StoredRecord;

/** What the store holds of a job of which a write by this entry (process that accepts jobs) was refused. */
sealed interface JobConflict {
    /**
     * An unfinished job that this entry owns, at another version than it knew.
     *
     * @param version version of the stored job
     */
    record OwnRecord(long version) implements JobConflict {}

    /**
     * An unfinished job that another entry owns.
     *
     * @param openRecord the stored job
     */
    record OtherOwner(StoredRecord openRecord) implements JobConflict {}

    /** No unfinished job: its final state is stored, whichever entry decided it, and has to be read. */
    record Closed() implements JobConflict {}
}
