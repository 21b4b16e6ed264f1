package io.caperturn.jobs;

/** Single-threaded event loop on which a process makes its decisions, with its clock, timers and log. */
public interface DecisionLoop {
    /**
     * Returns the time of a monotonic clock.
     *
     * @return the time in milliseconds since an arbitrary origin
     */
    long monotonicMilliseconds();

    /**
     * Returns the time of day, which may jump.
     *
     * @return milliseconds since 1970
     */
    long wallClockMilliseconds();

    /**
     * Runs an action later on this loop.
     *
     * @param milliseconds the delay, in milliseconds
     * @param action the action
     */
    void after(long milliseconds, Runnable action);

    /**
     * Returns the decision log.
     *
     * @return the log
     */
    DecisionLog log();
}
