package io.caperturn.replay.policy;

/**
 * Rule by which a {@link PushScheduler} picks the sidecar (the process that starts tasks at one upstream) of a task.
 */
public sealed interface PlacementRule {
    /** A sidecar picked uniformly at random. */
    record RandomChoice() implements PlacementRule {}

    /** The sidecars in turn. */
    record RoundRobin() implements PlacementRule {}

    /** The sidecar with the fewest unfinished tasks that the scheduler assigned. */
    record LeastOutstanding() implements PlacementRule {}

    /** Of two sidecars picked at random, the one with fewer unfinished tasks that the scheduler assigned. */
    record TwoChoices() implements PlacementRule {}
}
