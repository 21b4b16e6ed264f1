package io.caperturn.core.model;

/** Urgency class of a kind of work; the constants are ordered from most to least urgent. */
public enum Urgency {
    /** Starts before all other work. */
    URGENT,
    /** The default; starts after urgent work and before background work. */
    NORMAL,
    /** Starts after all other work; after a long wait, it gets a share of the slots ahead of other work. */
    BACKGROUND
}
