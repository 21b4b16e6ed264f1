package io.caperturn.core.model;

/** Class of urgency of a kind of work, most urgent first. */
public enum Urgency {
    /** Goes before all other work. */
    URGENT,
    /** The default. */
    NORMAL,
    /** Goes after other work, within the bound on its waiting time. */
    BACKGROUND
}
