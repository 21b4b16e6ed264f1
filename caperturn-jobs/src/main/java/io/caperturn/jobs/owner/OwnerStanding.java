package io.caperturn.jobs.owner;

/**
 * Standing of the entry (process that accepts jobs) that a stored job names as its owner, as the table of processes
 * proves it.
 */
sealed interface OwnerStanding {
    /** The owner is in the table: the job is its own. */
    record Member() implements OwnerStanding {}

    /**
     * The owner is not in the table, at a version at which its record would be there if it had not been removed. It
     * will not return under this incarnation, so its jobs can be adopted, and sidecars need accept nothing more from
     * it.
     *
     * @param tableVersion the version of the store up to which the table was read
     */
    record Lost(long tableVersion) implements OwnerStanding {}
}
