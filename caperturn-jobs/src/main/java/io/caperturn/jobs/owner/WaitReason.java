package io.caperturn.jobs.owner;

/** Reason why a task has to wait. */
public enum WaitReason {
    /** The free capacity is reserved for more urgent tasks. */
    CAPACITY_RESERVED(Scope.DEMAND),
    /** No upstream to which the task may be sent has enough free capacity for it. */
    NO_FREE_CAPACITY(Scope.DEMAND),
    /** As many tasks of the step run on each upstream with enough free capacity as the step allows there. */
    STEP_LIMIT_REACHED(Scope.STEP),
    /** The task has to run alone, and the upstream for such runs is not free for it. */
    EXCLUSIVE_PLACE_TAKEN(Scope.DEMAND),
    /** The queue of the task is confined to upstreams of its own, and none of them has room. */
    QUEUE_CONFINED(Scope.DEMAND),
    /** The task would be late on any upstream with free capacity, but on time on a faster one that is full now. */
    FASTER_UPSTREAM_FULL(Scope.TASK);

    /** Tasks to which the reason for which one task has to wait applies as well, within a pass. */
    enum Scope {
        /** All tasks that ask the same of an upstream. */
        DEMAND,
        /** Those of them that belong to the same step of the same job. */
        STEP,
        /** No other task: it may have more time. */
        TASK
    }

    private final Scope scope;
    private final Selection.Waiting selection = new Selection.Waiting(this);

    WaitReason(Scope scope) {
        this.scope = scope;
    }

    Scope scope() {
        return scope;
    }

    /** Returns the selection of a task that has to wait for this reason. */
    Selection.Waiting selection() {
        return selection;
    }
}
