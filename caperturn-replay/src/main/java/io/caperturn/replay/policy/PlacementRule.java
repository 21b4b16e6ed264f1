package io.caperturn.replay.policy;

/** Rule by which a baseline picks the back end of a task at its arrival. */
public sealed interface PlacementRule {
    /** Any back end, with equal chance. */
    record RandomChoice() implements PlacementRule {}

    /** Each back end in turn. */
    record RoundRobin() implements PlacementRule {}

    /** The back end with the fewest tasks outstanding from this entry. */
    record LeastOutstanding() implements PlacementRule {}

    /** The one with fewer tasks outstanding of two picked by chance. */
    record TwoChoices() implements PlacementRule {}
}
