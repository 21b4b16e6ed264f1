package io.caperturn.core.model;

/** Reason why a submission was refused or failed. */
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
    /** The platform's store can't accept the claim. */
    STORE_UNAVAILABLE,
    /** The entry can't confirm that its table is up to date. */
    STALE_TABLE,
    /** The deadline passed, or can't be met. */
    DEADLINE,
    /** The client cancelled the submission. */
    CANCELLED,
    /** A task failed. */
    TASK_FAILED,
    /** The entry that owned the submission is lost. */
    OWNER_LOST,
    /** The answer was complete but is no longer kept. */
    ANSWER_EXPIRED
}
