package io.caperturn.jobs;

/** Log, counters and histograms of a process's decisions; never blocks, and drops lines beyond its limits. */
public interface DecisionLog {
    /**
     * Writes one line.
     *
     * @param name name of the event
     * @param pairs keys, each an {@link EventKey}, alternating with their values
     */
    void event(EventName name, Object... pairs);

    /**
     * Increments a counter.
     *
     * @param name name of the counter
     */
    void count(String name);

    /**
     * Records a duration in a histogram.
     *
     * @param name name of the histogram
     * @param milliseconds the duration, in milliseconds
     */
    void duration(String name, long milliseconds);

    /**
     * Sets a level, the present value of a quantity; a log without metrics ignores it.
     *
     * @param name name of the level
     * @param value the value
     */
    default void level(String name, long value) {}
}
