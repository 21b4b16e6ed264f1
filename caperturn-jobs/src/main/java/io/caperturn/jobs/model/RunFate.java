package io.caperturn.jobs.model;

/**
 * What became of a run, as far as it counts under its task. If several reports on one run tell different fates, the
 * later of these values holds, in whatever order the reports arrive.
 */
public enum RunFate {
    /** The run was lost in a crash of the upstream, but is not known to have been active then. */
    LOST_UNCONFIRMED,
    /** The upstream crashed under the run, for which another task is the likely cause. */
    CRASH_EXPLAINED,
    /** The upstream crashed under the run. */
    CRASHED,
    /** The run was lost, but the upstream had only been out of reach. */
    CRASH_RETRACTED,
    /** The run failed, through a fault of its own or of the upstream. */
    FAILED,
    /** The run succeeded. */
    SUCCEEDED;

    private static final RunFate[] VALUES = values();

    /**
     * Returns the fate of a run of which two are told.
     *
     * @param other the other fate
     * @return the later of the two values
     */
    public RunFate merge(RunFate other) {
        return compareTo(other) < 0 ? other : this;
    }

    /**
     * Returns the fate with an ordinal.
     *
     * @param ordinal the ordinal
     * @return the fate
     * @throws IllegalArgumentException if no fate has that ordinal
     */
    public static RunFate of(int ordinal) {
        if (ordinal < 0 || ordinal >= VALUES.length) {
            throw new IllegalArgumentException("no run fate with ordinal " + ordinal);
        }
        return VALUES[ordinal];
    }
}
