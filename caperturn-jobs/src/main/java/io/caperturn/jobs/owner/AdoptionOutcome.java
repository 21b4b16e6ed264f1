package io.caperturn.jobs.owner;

import io.caperturn.jobs.record.StoredRecord;

/** Outcome of the attempt of an entry (process that accepts jobs) to become the owner of a stored job. */
sealed interface AdoptionOutcome {
    /**
     * This entry owns the job.
     *
     * @param job the job
     */
    record Adopted(OwnedJob job) implements AdoptionOutcome {}

    /**
     * Another write was applied first, and the job is unfinished.
     *
     * @param openRecord the stored job
     */
    record Changed(StoredRecord openRecord) implements AdoptionOutcome {}

    /** Another write was applied first, and the job has finished. */
    record Finished() implements AdoptionOutcome {}
}
