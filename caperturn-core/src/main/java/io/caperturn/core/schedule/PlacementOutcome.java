package io.caperturn.core.schedule;

/** Outcome of running a task at the sidecar process at which a scheduler placed it. */
public enum PlacementOutcome {
    /** The upstream returned a result. */
    COMPLETED,
    /** The task failed at the upstream. */
    FAILED,
    /** The task did not start at the upstream; this does not count as a failure of the upstream. */
    NOT_STARTED,
    /** The outcome is unknown because the sidecar or the link to it was lost. */
    UNKNOWN
}
