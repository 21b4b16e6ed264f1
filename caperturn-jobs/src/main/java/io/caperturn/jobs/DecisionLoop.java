package io.caperturn.jobs;

/** The one thread on which a process decides: its clock, its timers and its log. */
public interface DecisionLoop {
    /**
     * Reads a clock that never jumps.
     *
     * @return the time in milliseconds from an arbitrary beginning
     */
    long monotonicMilliseconds();

    /**
     * Reads the time of day, which may jump.
     *
     * @return milliseconds since 1970
     */
    long wallClockMilliseconds();

    /**
     * Runs an action later on this loop.
     *
     * @param milliseconds the delay
     * @param action the action
     */
    void after(long milliseconds, Runnable action);

    /**
     * Gives the log of decisions.
     *
     * @return the log
     */
    DecisionLog log();
}
