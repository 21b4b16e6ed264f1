package io.caperturn.jobs.upstream;

/** Receiver of what happens to runs at the upstream. */
interface RunListener {
    /** A run is at work. */
    void started(LocalRun run);

    /** A run has not moved for longer than its size explains. */
    void standsStill(LocalRun run);

    /** A run is over, or was never begun. */
    void ended(LocalRun run);

    /** The room, the queue or the upstream's state has changed. */
    void changed();

    /** The upstream's own list has been read under a fencing number of this process for the first time. */
    void listed();

    /** This process stood still for a time that its own clock didn't count. */
    void suspended();

    /** Tells whether the owner of a run still stands by it. */
    boolean mayStart(LocalRun run);
}
