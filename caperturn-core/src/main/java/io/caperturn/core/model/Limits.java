package io.caperturn.core.model;

/**
 * Limits of a kind of work or of a team, which apply to the whole system.
 *
 * @param running the maximum number of tasks that run at once
 * @param queued the maximum number of tasks that wait at once
 * @param startsPerSecond the maximum number of task starts per second
 */
public record Limits(int running, int queued, int startsPerSecond) {
    /** Value of a component that sets no limit. */
    public static final int UNLIMITED = Integer.MAX_VALUE;

    /** Limits that are all unlimited. */
    public static final Limits NONE = new Limits(UNLIMITED, UNLIMITED, UNLIMITED);

    /** Checks that no limit is negative. */
    public Limits {
        if (running < 0 || queued < 0 || startsPerSecond < 0) {
            throw new IllegalArgumentException("limits must not be negative");
        }
    }
}
