package io.caperturn.jobs.owner;

/** Result of the selection of an upstream for one task. */
sealed interface Selection {
    /** The task is to be sent to a sidecar (process beside the upstream), at a cost. */
    record Chosen(SidecarView sidecar, PlacementCost cost) implements Selection {}

    /** The task has to wait. */
    record Waiting(WaitReason reason) implements Selection {}

    /** Reason why a task has to wait. */
    enum WaitReason {
        /** The free capacity is reserved for more urgent tasks. */
        CAPACITY_RESERVED,
        /** No upstream to which the task may be sent has enough free capacity for it. */
        NO_FREE_CAPACITY,
        /** The task would be late on any upstream with free capacity, but on time on a faster one that is full now. */
        FASTER_UPSTREAM_FULL;

        private final Waiting selection = new Waiting(this);

        /** Returns the selection of a task that has to wait for this reason. */
        Waiting selection() {
            return selection;
        }
    }
}
