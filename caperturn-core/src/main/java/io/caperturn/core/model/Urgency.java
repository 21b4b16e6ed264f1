package io.caperturn.core.model;

/** Urgency class of a kind of work; the constants are ordered from most to least urgent. */
public enum Urgency {
    /** Is placed before all other work. */
    URGENT,
    /** The default. */
    NORMAL,
    /** Is placed after other work, but waits no longer than the bound on its waiting time. */
    BACKGROUND
}
