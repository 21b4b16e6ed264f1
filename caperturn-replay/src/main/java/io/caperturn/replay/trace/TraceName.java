package io.caperturn.replay.trace;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/**
 * Names of the traces, the artificial workloads that {@link TraceGenerator} generates.
 *
 * <p>A load is the share of all slots (places at upstreams for a running task) that it keeps busy.
 */
public enum TraceName {
    /** Steady load of 60 % of the slots. */
    STEADY_60,
    /** Steady load of 90 % of the slots. */
    STEADY_90,
    /** Load of 50 % of the slots with a burst of ten times as much for 2 s. */
    BURST,
    /** One job of 1,800 tasks beside small urgent jobs. */
    LARGE_JOB,
    /** Load of 80 % of the capacity of upstreams with speeds from 1 to 4. */
    HETEROGENEOUS,
    /** One upstream becomes ten times slower. */
    STRAGGLER,
    /** One upstream fails each task immediately. */
    FAILING_WORKER,
    /** Declared run times are up to ten times too low or too high. */
    WRONG_ESTIMATES,
    /** Steady load, and 20 large jobs that are submitted at the same time and cancelled 2 s later. */
    CANCELLATIONS,
    /** One upstream is lost, with the tasks that run there. */
    UPSTREAM_LOST,
    /** One entry (process that accepts submissions) is lost. */
    ENTRY_LOST,
    /** Kinds (types of tasks) and teams with limits, and one entry that is paused and resumed. */
    LIMITS,
    /** Two kinds of different weight with a lasting backlog. */
    FAIRNESS;

    /**
     * Returns the label of the trace, by which it is chosen on the command line.
     *
     * @return the constant's name in lower case, with hyphens
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Finds a trace by its label.
     *
     * @param label the label
     * @return the trace, or empty if there is none
     */
    public static Optional<TraceName> find(String label) {
        return Arrays.stream(values())
                .filter(name -> name.label().equals(label))
                .findFirst();
    }
}
