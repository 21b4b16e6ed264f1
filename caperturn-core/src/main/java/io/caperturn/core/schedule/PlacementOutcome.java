package io.caperturn.core.schedule;

/** Outcome of a placement, as far as scheduling depends on it. */
public enum PlacementOutcome {
    /** The upstream returned a result. */
    COMPLETED,
    /** The upstream failed the task. */
    FAILED,
    /** The task did not start at the upstream; this does not count as a failure of the upstream. */
    NOT_STARTED,
    /** The outcome is unknown because the sidecar or the link to it was lost. */
    UNKNOWN
}
