package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.UpstreamCrash;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Controller of the upstream beside this sidecar process: starts queued runs as resources allow, extends leases by hold
 * requests, and reports completions.
 *
 * <p>Every order carries a fencing token; the upstream refuses a lower token than it has seen.
 */
final class UpstreamController implements HoldHandler, StartOrders.Handler, UpstreamState.IncarnationListener {
    private final DecisionLoop loop;
    private final RunRegistry registry;
    private final RunListener listener;
    private final UpstreamState state;
    private final HoldCycle holdCycle;
    private final UpstreamCrashes crashes;
    private final RunEndings endings;
    private final StartOrders startOrders;
    private final StopOrders stopOrders;
    private boolean sidecarLeaving;

    UpstreamController(
            UpstreamPort port,
            DecisionLoop loop,
            SidecarTimings timings,
            RunRegistry registry,
            RunLeases leases,
            RunListener listener) {
        this.loop = loop;
        this.registry = registry;
        this.listener = listener;
        this.state = new UpstreamState(loop, timings.upstreamLeaseMilliseconds(), leases::latestUpstreamExpiry, this);
        AnswerTimeout answerTimeout = new AnswerTimeout(timings.answerTimeoutMilliseconds());
        this.crashes = new UpstreamCrashes(loop, registry, state);
        this.endings = new RunEndings(loop, timings, registry, state, crashes, listener);
        this.holdCycle = new HoldCycle(port, loop, timings, registry, state, leases, answerTimeout, this);
        this.startOrders = new StartOrders(port, loop, registry, state, holdCycle, answerTimeout, listener, this);
        this.stopOrders = new StopOrders(port, loop, state, answerTimeout, holdCycle);
    }

    UpstreamState state() {
        return state;
    }

    /** Sets the registration number, which the store assigns to no other incarnation of this sidecar. */
    void setRegistration(long registration) {
        if (state.setRegistration(registration)) {
            holdCycle.startHold();
        }
    }

    /** Returns whether a run of which this process knows nothing cannot be active at the upstream. */
    boolean isEndOfUnknownRunProved() {
        return endings.isEndOfUnknownRunProved();
    }

    /** Returns the crashes of the upstream of which entries are told. */
    List<UpstreamCrash> recentCrashes() {
        return crashes.recent();
    }

    @Override
    public boolean isUsable() {
        return state.isAccepting() && !sidecarLeaving && holdCycle.isUpstreamReachable();
    }

    /** Handles an announcement of the upstream, unless it is older than the known one. */
    void handleAnnouncement(UpstreamAnnouncement announcement) {
        boolean outdated = state.isOutdated(announcement);
        if (!outdated && state.hasAnnouncedStop(announcement.description())) {
            state.liftStopNotice(announcement);
        }
        boolean stopped = state.hasAnnouncedStop(announcement.description());
        if (outdated || stopped) {
            loop.log()
                    .event(
                            EventName.ANNOUNCEMENT_DROPPED,
                            EventKey.UPSTREAM,
                            announcement.identity(),
                            EventKey.BORN,
                            announcement.startEpochMilliseconds(),
                            EventKey.CAUSE,
                            stopped ? "stop-announced" : "older");
            // The start of an upstream can be earlier than that of the one before, if its time of day was set back.
            holdCycle.startHold();
            return;
        }
        Optional<UpstreamAnnouncement> known = state.incarnation().announcement();
        if (known.isEmpty()
                || !known.get().identity().equals(announcement.identity())
                || known.get().leaving() != announcement.leaving()) {
            loop.log()
                    .event(
                            EventName.UPSTREAM,
                            EventKey.IDENTITY,
                            announcement.identity(),
                            EventKey.BORN,
                            announcement.startEpochMilliseconds(),
                            EventKey.LEAVING,
                            announcement.leaving(),
                            EventKey.SERVICE,
                            announcement.description().service(),
                            EventKey.CAPACITY,
                            announcement.description().capacity().processorMillis());
        }
        state.recordAnnouncement(announcement);
        if (announcement.leaving()) {
            refuseQueuedRuns("upstream-leaving");
        }
        refuseQueuedRuns(run -> !state.capacity().covers(run.requiredResources()), "larger-than-upstream");
        listener.statusChanged();
        holdCycle.startHoldIfNeeded();
        startQueued();
    }

    /**
     * Handles the notice of the upstream that it stops: it gets no more runs. Its active runs go on until their end is
     * proved, as an upstream whose notice is not acknowledged stops only some seconds later.
     */
    void handleStopNotice(String identity) {
        if (!state.recordStopNotice(identity)) {
            return;
        }
        loop.log().event(EventName.UPSTREAM_GONE, EventKey.IDENTITY, identity, EventKey.RUNS, registry.activeCount());
        crashes.retract().forEach(listener::crashRetracted);
        endings.finishEndedRuns(new EndEvidence.StopNotice());
        refuseQueuedRuns("upstream-gone");
        listener.statusChanged();
        holdCycle.startHoldIfNeeded();
    }

    /** Stops accepting runs and refuses the queued ones. */
    void leave() {
        sidecarLeaving = true;
        refuseQueuedRuns("sidecar-leaving");
        listener.statusChanged();
    }

    @Override
    public boolean isLeaving() {
        return sidecarLeaving;
    }

    /** Starts queued runs, as far as resources allow. */
    void startQueued() {
        startOrders.startQueued();
    }

    /** Stops a run, or removes it if it is queued. */
    void withdraw(LocalRun run, String cause) {
        switch (run.phase()) {
            case QUEUED -> {
                registry.finish(
                        run, RunOutcome.STOPPED, cause, /* completionNumber= */ 0, loop.monotonicMilliseconds());
                listener.runFinished(run);
                listener.statusChanged();
            }
            // The stop is sent once the start is confirmed.
            case STARTING, DOUBTFUL -> run.requestStop();
            case RUNNING -> stopOrders.stop(run, cause);
            case ENDED -> {}
        }
    }

    /** Removes a finished run, and acknowledges its completion to the upstream with the next hold. */
    void removeFinished(LocalRun run) {
        registry.removeFinished(run);
        holdCycle.startHoldIfNeeded();
    }

    /** Finishes runs with an expired lease, and starts queued runs and a hold as needed; called at short intervals. */
    void tick() {
        if (holdCycle.isUpstreamSilent()) {
            endings.finishEndedRuns(new EndEvidence.Silence(holdCycle.lastLeaseSentAt()));
        }
        startQueued();
        holdCycle.startHoldIfNeeded();
    }

    @Override
    public void startConfirmed(LocalRun run) {
        crashes.recordStart(run);
        listener.runStarted(run);
        if (run.isStopRequested()) {
            stopOrders.stop(run, "withdrawn-at-start");
        }
        holdCycle.startHoldIfNeeded();
    }

    @Override
    public void refuse(LocalRun run, String reason) {
        registry.finish(run, RunOutcome.REFUSED, reason, /* completionNumber= */ 0, loop.monotonicMilliseconds());
        listener.runFinished(run);
    }

    @Override
    public void runFinished(LocalRun run) {
        listener.runFinished(run);
    }

    @Override
    public void runStalled(LocalRun run) {
        listener.runStalled(run);
    }

    @Override
    public void listingChanged(boolean firstListing) {
        startOrders.listingChanged();
        if (firstListing) {
            listener.upstreamRunsListed();
        }
        listener.statusChanged();
        startQueued();
    }

    @Override
    public void incarnationEnding() {
        crashes.recordCrash("restarted", /* justNow= */ false);
        crashes.replaceIncarnation().forEach(listener::crashFoundAfterLapse);
    }

    @Override
    public void incarnationReplaced() {
        registry.replaceIncarnation();
        // They were chosen by what the earlier incarnation was.
        refuseQueuedRuns(JobFrame.Report.UPSTREAM_REPLACED);
        listener.statusChanged();
        // An order may already have reached the new incarnation, so only its listing shows which runs are active.
        registry.allRuns().stream().filter(LocalRun::isActive).forEach(LocalRun::doubtAfterRestart);
    }

    @Override
    public void upstreamSilent(boolean connectionsRefused) {
        if (connectionsRefused) {
            crashes.recordCrash("connections-refused", /* justNow= */ true);
        }
        refuseQueuedRuns("upstream-silent");
        listener.statusChanged();
    }

    @Override
    public void endEvidenceFound(EndEvidence evidence) {
        endings.finishEndedRuns(evidence);
    }

    @Override
    public void upstreamAnsweredAgain() {
        crashes.retract().forEach(listener::crashRetracted);
        listener.statusChanged();
        startQueued();
    }

    @Override
    public void clockRead(long reading) {
        boolean wasRead = state.isClockRead();
        if (state.readClock(reading)) {
            listener.processSuspended();
        }
        if (!wasRead) {
            startQueued(); // starts wait for a reading
        }
    }

    private void refuseQueuedRuns(String cause) {
        refuseQueuedRuns(run -> true, cause);
    }

    private void refuseQueuedRuns(Predicate<LocalRun> selected, String cause) {
        registry.queuedRuns().stream().filter(selected).toList().forEach(run -> refuse(run, cause));
    }
}
