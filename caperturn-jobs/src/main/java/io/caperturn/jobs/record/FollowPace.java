package io.caperturn.jobs.record;

/**
 * Pace at which a follower of a table asks for changes: pauses grow while changes keep coming, so that many changes are
 * gathered in one call, and start anew after a quiet time.
 */
public final class FollowPace {
    /** First pause of a series of changes, in milliseconds. */
    private static final long SHORTEST_PAUSE_MILLISECONDS = 50;

    private final long longestPauseMilliseconds;
    private final long waitMilliseconds;
    private long nextPauseMilliseconds;

    private FollowPace(long longestPauseMilliseconds, long waitMilliseconds) {
        this.longestPauseMilliseconds = longestPauseMilliseconds;
        this.waitMilliseconds = waitMilliseconds;
        recordQuiet();
    }

    /**
     * Returns a pace without pauses, for a table on whose every change a decision waits.
     *
     * @param waitMilliseconds how long the store waits for a change before it answers without one, in milliseconds; an
     *     answer without a change confirms that the store can be reached
     * @return the pace
     */
    public static FollowPace immediate(long waitMilliseconds) {
        return new FollowPace(0, waitMilliseconds);
    }

    /**
     * Returns a pace that gathers changes.
     *
     * @param longestPauseMilliseconds limit of the pauses, in milliseconds
     * @param waitMilliseconds how long the store waits for a change before it answers without one, in milliseconds
     * @return the pace
     */
    public static FollowPace gathering(long longestPauseMilliseconds, long waitMilliseconds) {
        if (longestPauseMilliseconds <= 0) {
            throw new IllegalArgumentException("a pace that gathers changes must pause");
        }
        return new FollowPace(longestPauseMilliseconds, waitMilliseconds);
    }

    /**
     * Returns how long to wait after an answer with changes; the wait after the next one is twice as long, up to the
     * limit.
     *
     * @return the pause in milliseconds, 0 to ask at once
     */
    public long pauseAfterChange() {
        long pause = nextPauseMilliseconds;
        nextPauseMilliseconds = Math.min(longestPauseMilliseconds, 2 * pause);
        return pause;
    }

    /**
     * Returns how long the store waits for a change before it answers without one.
     *
     * @return the time in milliseconds
     */
    public long waitMilliseconds() {
        return waitMilliseconds;
    }

    /** Records that the store has waited for a change in vain: the next change begins a new series. */
    public void recordQuiet() {
        nextPauseMilliseconds = Math.min(SHORTEST_PAUSE_MILLISECONDS, longestPauseMilliseconds);
    }
}
