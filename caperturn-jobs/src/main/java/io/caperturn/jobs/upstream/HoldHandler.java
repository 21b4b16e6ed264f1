package io.caperturn.jobs.upstream;

/** Receiver of the results of holds, the requests by which a sidecar process extends leases and lists runs. */
interface HoldHandler {
    /** Called when a listing shows that an unanswered order to start a run was carried out. */
    void startConfirmed(LocalRun run);

    /** Called when a run has made no progress for too long in relation to its expected duration. */
    void runStalled(LocalRun run);

    /** Called when a run has finished. */
    void runFinished(LocalRun run);

    /**
     * Called when a listing showed changes or was the first one under its fencing token.
     *
     * @param firstListing whether it was the first listing since the last start of the upstream
     */
    void listingChanged(boolean firstListing);

    /**
     * Called when several consecutive holds went unanswered.
     *
     * @param connectionsRefused whether the connection of the last one was refused, as by the port of a stopped process
     */
    void upstreamSilent(boolean connectionsRefused);

    /** Called with an observation that may prove that active runs have ended. */
    void endEvidenceFound(EndEvidence evidence);

    /** Called when the known incarnation of the upstream answers after it was silent or could not be reached. */
    void upstreamAnsweredAgain();

    /** Called with each reading of the upstream's clock, in milliseconds. */
    void clockRead(long reading);
}
