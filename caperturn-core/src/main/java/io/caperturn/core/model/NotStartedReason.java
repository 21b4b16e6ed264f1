package io.caperturn.core.model;

/**
 * Reason why a sidecar did not start an attempt; each value proves that the attempt did not and will not start there.
 */
public enum NotStartedReason {
    /** The slots and the queue are full, or the ledger is. */
    FULL,
    /** The upstream is leaving, silent or absent. */
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
    /** The dispatch was addressed to another incarnation of the sidecar. */
    WRONG_INCARNATION,
    /** The claim is older than the time for which the sidecar's ledger keeps attempts. */
    CLAIM_TOO_OLD,
    /** The upstream does not serve the kind, or the table in force forbids it. */
    KIND_NOT_SERVED,
    /** The attempt was cancelled before it started. */
    CANCELLED,
    /**
     * The upstream refused the attempt before starting it: it refused the connection or answered with a status that is
     * configured as proof of this.
     */
    REFUSED_BY_UPSTREAM,
    /** The sidecar can't confirm that its table is up to date. */
    STALE_TABLE
}
