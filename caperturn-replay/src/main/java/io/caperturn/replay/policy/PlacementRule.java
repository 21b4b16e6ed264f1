package io.caperturn.replay.policy;

/** Rule by which a {@link PushScheduler} picks the back end (a sidecar with its upstream) of a task on arrival. */
public sealed interface PlacementRule {
    /** A back end picked uniformly at random. */
    record RandomChoice() implements PlacementRule {}

    /** The back ends in turn. */
    record RoundRobin() implements PlacementRule {}

    /** The back end with the fewest outstanding tasks of this entry. */
    record LeastOutstanding() implements PlacementRule {}

    /** Of two back ends picked at random, the one with fewer outstanding tasks of this entry. */
    record TwoChoices() implements PlacementRule {}
}
