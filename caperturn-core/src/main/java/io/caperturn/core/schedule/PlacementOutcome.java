package io.caperturn.core.schedule;

/** How a placement ended, as far as order and placement care. */
public enum PlacementOutcome {
    /** The upstream returned a result. */
    COMPLETED,
    /** The upstream failed the task. */
    FAILED,
    /** The task did not start there; the upstream is not to blame. */
    NOT_STARTED,
    /** Nothing is known; the sidecar or its link is gone. */
    UNKNOWN
}
