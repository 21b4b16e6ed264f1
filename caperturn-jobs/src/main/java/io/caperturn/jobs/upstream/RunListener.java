package io.caperturn.jobs.upstream;

/** Listener for changes to the runs and the state of the upstream. */
interface RunListener {
    /** Called when the upstream has confirmed the start of a run. */
    void started(LocalRun run);

    /** Called when a run has made no progress for too long in relation to its expected duration. */
    void stalled(LocalRun run);

    /** Called when a run has finished or was refused. */
    void finished(LocalRun run);

    /** Called when the free resources, the queue or the state of the upstream have changed. */
    void statusChanged();

    /** Called after the first listing of the runs of an upstream's incarnation. */
    void firstListed();

    /** Called when this process was suspended for a time that its own clock did not count. */
    void processSuspended();

    /** Returns whether the owner's lease still allows a run to start. */
    boolean isStartAllowed(LocalRun run);
}
