package io.caperturn.replay.trace;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Traces that can be generated. */
public enum TraceName {
    /** Steady load at 60 % of the slots. */
    STEADY_60,
    /** Steady load at 90 % of the slots. */
    STEADY_90,
    /** Load at 50 % with a burst of ten times as much for 2 s. */
    BURST,
    /** One job of 1,800 tasks beside urgent small ones. */
    LARGE_JOB,
    /** Upstreams of speeds 1 to 4 at 80 % of their capacity. */
    HETEROGENEOUS,
    /** One upstream becomes ten times slower. */
    STRAGGLER,
    /** One upstream fails everything at once. */
    FAILING_WORKER,
    /** Declared times are up to ten times too low or too high. */
    WRONG_ESTIMATES,
    /** A wave of cancellations. */
    CANCELLATIONS,
    /** One upstream is lost with what runs there. */
    UPSTREAM_LOST,
    /** One entry is lost. */
    ENTRY_LOST,
    /** Kinds and teams with limits, and one entry that is paused and resumed. */
    LIMITS,
    /** Two kinds of different weight with a lasting backlog. */
    FAIRNESS;

    /**
     * Returns the name for people.
     *
     * @return the name in lower case with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a trace by its name for people.
     *
     * @param label the name
     * @return the trace, or empty if there is none
     */
    public static Optional<TraceName> find(String label) {
        return Arrays.stream(values())
                .filter(name -> name.label().equals(label))
                .findFirst();
    }
}
