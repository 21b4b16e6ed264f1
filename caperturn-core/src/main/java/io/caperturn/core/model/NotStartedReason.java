package io.caperturn.core.model;

/**
 * Reason why a sidecar did not start an attempt; each value proves that the attempt did not and will not start there.
 *
 * <p>A sidecar is the process beside an upstream that passes tasks to it; its ledger is its record of attempts.
 * Attempts are sent by entries, the processes that accept submissions. A claim is the durable record that makes one
 * entry the owner of a submission; each new owner gets a higher fencing token.
 */
public enum NotStartedReason {
    /** All slots of the upstream are in use and the sidecar's queue is full, or its ledger is full. */
    FULL,
    /** The upstream announced that it is leaving, no longer answers, or is absent. */
    LEAVING,
    /** The sidecar is draining for a planned stop. */
    DRAINING,
    /**
     * The ledger already recorded that this attempt must not start, for example because an entry asked for its state
     * before it arrived; a later attempt of the same claim may start.
     */
    FENCED,
    /** Another entry adopted the submission under a higher fencing token. */
    SUPERSEDED,
    /** The attempt was addressed to another incarnation of the sidecar, such as one before a restart. */
    WRONG_INCARNATION,
    /** The claim is older than the time for which the ledger keeps attempts. */
    CLAIM_TOO_OLD,
    /** The upstream does not serve the kind of work, or the sidecar's copy of the operators' table forbids it. */
    KIND_NOT_SERVED,
    /** The attempt was cancelled before it started. */
    CANCELLED,
    /**
     * The upstream refused the attempt before starting it: it refused the connection or answered with a status that is
     * configured as proof of this.
     */
    REFUSED_BY_UPSTREAM,
    /** The sidecar cannot confirm that its copy of the operators' table is up to date. */
    STALE_TABLE
}
