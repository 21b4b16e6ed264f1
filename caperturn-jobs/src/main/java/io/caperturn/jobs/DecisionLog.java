package io.caperturn.jobs;

/** Log of decisions and of changes in what a process believes; never blocks, and drops lines beyond its bounds. */
public interface DecisionLog {
    /**
     * Writes one line.
     *
     * @param name name of the event
     * @param pairs keys, each an {@link EventKey}, and values by turns
     */
    void event(EventName name, Object... pairs);

    /**
     * Counts something.
     *
     * @param name name of the counter
     */
    void count(String name);

    /**
     * Records a duration.
     *
     * @param name name of the histogram
     * @param milliseconds the duration
     */
    void duration(String name, long milliseconds);
}
