package io.caperturn.core.model;

/**
 * Reason why a submission was refused or failed.
 *
 * <p>An entry is a process that accepts submissions. The table is the operators' list of the kinds of work and the
 * teams, with their weights and limits.
 */
public enum FailureReason {
    /** The same identity was submitted before with another body. */
    DIGEST_CONFLICT,
    /** The kind of work has no row in the table. */
    UNKNOWN_KIND,
    /** A queue limit of the kind or team is reached. */
    QUEUE_FULL,
    /** A rate limit of the kind or team is reached. */
    RATE_LIMITED,
    /** The entry itself is overloaded. */
    OVERLOADED,
    /** The entry is draining for a planned stop. */
    DRAINING,
    /** No upstream serves the kind. */
    NO_UPSTREAM,
    /** The platform's store cannot record that this entry owns the submission, which must precede its first start. */
    STORE_UNAVAILABLE,
    /** The entry cannot confirm that its copy of the table is up to date. */
    STALE_TABLE,
    /** The deadline passed or cannot be met. */
    DEADLINE,
    /** The client cancelled the submission. */
    CANCELLED,
    /** A task failed. */
    TASK_FAILED,
    /** The entry that owned the submission is lost. */
    OWNER_LOST,
    /** The submission completed earlier, but its answer is no longer kept. */
    ANSWER_EXPIRED
}
