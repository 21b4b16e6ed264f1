package io.caperturn.core.model;

/** Why a sidecar did not start an attempt; each value is proof that it did not and will not start there. */
public enum NotStartedReason {
    /** Slots and queue are full. */
    FULL,
    /** The upstream is leaving, silent or absent. */
    LEAVING,
    /** The sidecar is draining for a planned stop. */
    DRAINING,
    /** A resolve fenced this attempt; a later attempt of the same claim may start. */
    FENCED,
    /** Another entry adopted the submission under a higher fence number. */
    SUPERSEDED,
    /** The dispatch was addressed to another incarnation. */
    WRONG_INCARNATION,
    /** The claim is older than the ledger reaches back. */
    CLAIM_TOO_OLD,
    /** The upstream does not serve the kind, or the table in force forbids it. */
    KIND_NOT_SERVED,
    /** The attempt was cancelled before it started. */
    CANCELLED,
    /** The upstream refused before starting: the connection was refused, or a status listed as proof. */
    REFUSED_BY_UPSTREAM,
    /** The sidecar's table cannot be confirmed fresh. */
    STALE_TABLE
}
