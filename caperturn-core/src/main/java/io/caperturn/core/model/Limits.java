package io.caperturn.core.model;

/**
 * Limits of a kind or of a team over the whole system.
 *
 * @param running most tasks running at once
 * @param queued most tasks waiting at once
 * @param startsPerSecond most task starts in a second
 */
public record Limits(int running, int queued, int startsPerSecond) {
    /** Value of a limit that does not bind. */
    public static final int UNLIMITED = Integer.MAX_VALUE;

    /** Limits that do not bind. */
    public static final Limits NONE = new Limits(UNLIMITED, UNLIMITED, UNLIMITED);

    /** Checks that no limit is negative. */
    public Limits {
        if (running < 0 || queued < 0 || startsPerSecond < 0) {
            throw new IllegalArgumentException("limits must not be negative");
        }
    }
}
