package io.caperturn.jobs.upstream;

/** Listener for changes to the runs that a sidecar process knows, and to the state of its upstream. */
interface RunListener {
    /** Called when the upstream has confirmed the start of a run. */
    void runStarted(LocalRun run);

    /** Called when a run has made no progress for too long in relation to its expected duration. */
    void runStalled(LocalRun run);

    /** Called when a run has finished or was refused. */
    void runFinished(LocalRun run);

    /** Called when the upstream may have crashed under a run that was reported as lapsed for its silence. */
    void crashFoundAfterLapse(LocalRun run);

    /** Called when the upstream has not crashed although a run was reported as lost in a crash. */
    void crashRetracted(LocalRun run);

    /** Called when the free resources, the queue or the state of the upstream have changed. */
    void statusChanged();

    /** Called when the current incarnation of the upstream has listed its runs for the first time. */
    void upstreamRunsListed();

    /** Called when this process was suspended for a time that its own clock did not count. */
    void processSuspended();

    /** Returns whether the lease of its owner (the entry that dispatched it last) still allows a run to start. */
    boolean isStartAllowed(LocalRun run);
}
