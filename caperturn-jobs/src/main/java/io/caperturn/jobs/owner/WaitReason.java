package io.caperturn.jobs.owner;

/** Reason why a task has to wait. */
public enum WaitReason {
    /** The free capacity is reserved for more urgent tasks. */
    CAPACITY_RESERVED,
    /** No upstream to which the task may be sent has enough free capacity for it. */
    NO_FREE_CAPACITY,
    /** The task has to run alone, and the upstream for such runs is not free for it. */
    EXCLUSIVE_PLACE_TAKEN,
    /** The queue of the task is confined to upstreams of its own, and none of them has room. */
    QUEUE_CONFINED,
    /** The task would be late on any upstream with free capacity, but on time on a faster one that is full now. */
    FASTER_UPSTREAM_FULL;

    private final Selection.Waiting selection = new Selection.Waiting(this);

    /** Returns the selection of a task that has to wait for this reason. */
    Selection.Waiting selection() {
        return selection;
    }
}
