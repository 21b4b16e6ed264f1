package io.caperturn.jobs.owner;

/** Assessment of one sidecar (process beside an upstream) as the place for one task. */
sealed interface Candidacy {
    /** The task cannot be sent to the sidecar, even if its upstream had free capacity. */
    record Excluded(ExclusionReason reason) implements Candidacy {}

    /** The upstream lacks free capacity now; the expected duration of the run there is in milliseconds. */
    record Full(long expectedMilliseconds) implements Candidacy {}

    /** The task can be sent to the sidecar now, at a cost. */
    record Possible(PlacementCost cost) implements Candidacy {}
}
