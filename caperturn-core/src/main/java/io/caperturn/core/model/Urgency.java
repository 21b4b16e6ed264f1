package io.caperturn.core.model;

/** Urgency class of a kind of work; the constants are ordered from most to least urgent. */
public enum Urgency {
    /** Is placed before all other work. */
    URGENT,
    /** The default. */
    NORMAL,
    /** Is placed after other work; after a long wait, it gets a share of the slots ahead of other work. */
    BACKGROUND
}
