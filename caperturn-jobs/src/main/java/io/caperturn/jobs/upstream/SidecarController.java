package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.UpstreamIncarnation;
import io.caperturn.jobs.upstream.LocalRun.Phase;
import io.caperturn.jobs.zone.ZoneStartGate;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Controller of the sidecar process of one upstream: accepts runs from entries, starts them on the upstream, and
 * reports to their owners. The owner of a run is the entry (process that owns jobs) that dispatched it last; a run
 * whose owner is lost has none (is unclaimed) until another entry adopts its job and dispatches it again.
 *
 * <p>An owner's lease on its runs counts from the moment at which this sidecar requested the renewal. The lease
 * therefore expires here before the owner, or the entry that adopts its jobs, considers it expired.
 */
public final class SidecarController {
    /** Interval of the check of owners' leases, in milliseconds: a tenth of the shortest lease. */
    private static final long LEASE_CHECK_MILLISECONDS = 100;

    private final DecisionLoop loop;
    private final SidecarTimings timings;
    private final RunRegistry registry = new RunRegistry();
    private final UpstreamController upstreamController;
    /** Leases of entries that are linked or recently were, by the incarnation of the entry. */
    private final Map<String, OwnerLease> owners = new HashMap<>();

    private final RunLeases leases;
    private final LeaseExpiry leaseExpiry;
    private final UnclaimedRuns unclaimedRuns;
    private final FinishedRuns finishedRuns;
    private final EntryFences fences;
    private final OverJobs overJobs;

    private final StatusSender statusSender;
    private final OwnerReports reports;
    private final ZoneStartGate zoneGate;
    private final DispatchCheck dispatchCheck;
    private final SlowdownSender slowdownSender;

    /**
     * Creates a sidecar without state.
     *
     * @param loop the loop on which all calls are made
     * @param upstream port to the upstream
     * @param links port to the entries
     * @param timings leases, intervals and time-outs
     * @param node name of the instance of this sidecar
     * @param zoneGate decision whether tasks may be started in the availability zone of this sidecar
     */
    public SidecarController(
            DecisionLoop loop,
            UpstreamPort upstream,
            LinkPort links,
            SidecarTimings timings,
            String node,
            ZoneStartGate zoneGate) {
        this.loop = loop;
        this.timings = timings;
        this.zoneGate = zoneGate;
        this.unclaimedRuns = new UnclaimedRuns(loop, links, registry, owners);
        this.leases = new RunLeases(loop, timings, registry, owners);
        this.upstreamController =
                new UpstreamController(upstream, loop, timings, registry, leases, new OwnerReporter());
        this.finishedRuns = new FinishedRuns(registry, upstreamController);
        this.overJobs = new OverJobs(loop, registry, finishedRuns);
        this.fences = new EntryFences(loop, links, registry, finishedRuns, leases);
        this.statusSender = new StatusSender(
                loop, links, timings, registry, upstreamController, owners, new PromptRecipients(node), zoneGate);
        this.reports = new OwnerReports(links, owners, statusSender);
        this.dispatchCheck = new DispatchCheck(loop, registry, overJobs, upstreamController, statusSender, zoneGate);
        this.slowdownSender = new SlowdownSender(loop, links, registry);
        this.leaseExpiry = new LeaseExpiry(loop, registry, leases, owners, upstreamController, reports, statusSender);
    }

    /** Starts the periodic check of leases. */
    public void start() {
        loop.after(LEASE_CHECK_MILLISECONDS, this::tick);
    }

    /**
     * Sets the registration number from which fencing tokens are derived, by which the upstream recognizes outdated
     * orders. The store assigns the number to no other incarnation of this sidecar.
     *
     * @param registration the registration number
     */
    public void setRegistration(long registration) {
        upstreamController.setRegistration(registration);
    }

    /**
     * Restores the description of the upstream that an earlier incarnation of this sidecar stored.
     *
     * @param earlier the description; it is used only if the upstream has not restarted since
     */
    public void restoreUpstream(UpstreamIncarnation earlier) {
        upstreamController.state().restoreDescription(earlier);
        statusSender.scheduleStatus();
    }

    /**
     * Returns the description of the upstream to be stored for the next incarnation of this sidecar, which uses the
     * upstream by it before the upstream announces itself again.
     *
     * @param stored the description that is stored now
     * @return the description; the stored one while the upstream is unknown, and empty if it is leaving or has
     *     announced that it stops, because the next incarnation must not use it
     */
    public Optional<UpstreamIncarnation> upstreamToStore(Optional<UpstreamIncarnation> stored) {
        UpstreamState state = upstreamController.state();
        return state.incarnation()
                .announcement()
                .map(latest -> Optional.of(latest.description()).filter(description -> !latest.leaving()))
                .orElseGet(() -> stored.filter(description -> !state.hasAnnouncedStop(description)));
    }

    /**
     * Handles an announcement of the upstream.
     *
     * @param announcement the announcement
     */
    public void handleAnnouncement(UpstreamAnnouncement announcement) {
        upstreamController.handleAnnouncement(announcement);
    }

    /**
     * Handles the notice of the upstream that it stops.
     *
     * @param identity name of the upstream
     */
    public void handleStopNotice(String identity) {
        upstreamController.handleStopNotice(identity);
    }

    /**
     * Applies a change of the evacuated zones: returns queued runs to their owners if none may be started here any
     * more, and starts waiting ones otherwise.
     */
    public void handleEvacuationChange() {
        returnRunsOfEvacuatedZone();
        statusSender.scheduleStatus();
        upstreamController.startQueued();
    }

    private void returnRunsOfEvacuatedZone() {
        List<LocalRun> refused = dispatchCheck.refuseQueuedInEvacuatedZone();
        refused.forEach(reports::report);
        if (!refused.isEmpty()) {
            statusSender.scheduleStatus();
        }
    }

    /** Stops accepting runs, returns queued ones to their owners, and lets active ones finish. */
    public void leave() {
        upstreamController.leave();
    }

    /**
     * Returns whether no run is active and every listed completion has been acknowledged to the upstream.
     *
     * @return true if this process can exit without losing a run or a completion
     */
    public boolean isIdle() {
        ListedCompletions completions = registry.completions();
        return registry.activeCount() == 0 && completions.acknowledgeableUpTo() == completions.acknowledgedUpTo();
    }

    /**
     * Handles an opened link to an entry.
     *
     * @param incarnation identity of the entry until its next restart
     */
    public void handleLinkOpened(String incarnation) {
        slowdownSender.forgetReceiver(incarnation);
        OwnerLease owner = owners.computeIfAbsent(incarnation, key -> new OwnerLease(key, timings));
        leases.endClaimsOf(owner);
        owner.openLink(loop.monotonicMilliseconds());
        fences.notifyIfFenced(incarnation);
        // The status requests a renewal, whose answer then arrives before the runs of the inventory are claimed.
        statusSender.sendStatus(owner);
        statusSender.sendInventory(owner, /* fencedEntry= */ "");
    }

    /**
     * Handles the loss of a link; the entry's lease on its runs continues until it expires.
     *
     * @param incarnation incarnation of the entry
     */
    public void handleLinkClosed(String incarnation) {
        OwnerLease owner = owners.get(incarnation);
        if (owner != null) {
            owner.closeLink();
            slowdownSender.forgetReceiver(incarnation);
        }
    }

    /**
     * Handles a frame from an entry.
     *
     * @param incarnation incarnation of the entry
     * @param frame the frame
     */
    public void handleFrame(String incarnation, JobFrame frame) {
        OwnerLease owner = owners.get(incarnation);
        if (owner == null) {
            return;
        }
        switch (frame) {
            case JobFrame.Lease lease ->
                owner.renew(lease).ifPresent(requestedAt -> {
                    finishedRuns.discardReceived(owner, requestedAt);
                    upstreamController.startQueued();
                });
            case JobFrame.Dispatch dispatch -> handleDispatch(owner, dispatch);
            case JobFrame.Withdraw withdraw -> handleWithdrawal(owner, withdraw.run());
            case JobFrame.Settled settled -> finishedRuns.discardSettled(settled.run());
            case JobFrame.FenceOwner fence -> {
                fences.fence(incarnation, fence.incarnation());
                statusSender.sendInventory(owner, fence.incarnation());
                statusSender.scheduleStatus();
            }
            case JobFrame.JobOver over -> overJobs.add(over.job());
            default -> loop.log().event(EventName.FRAME_UNEXPECTED, EventKey.FROM, incarnation, EventKey.FRAME, frame);
        }
    }

    private void handleDispatch(OwnerLease owner, JobFrame.Dispatch dispatch) {
        owner.recordDispatch(dispatch);
        slowdownSender.recordDispatch(owner.incarnation(), dispatch.queue());
        RunIdentity identity = dispatch.run();
        if (fences.isRefused(owner.incarnation(), identity)) {
            return;
        }
        long now = loop.monotonicMilliseconds();
        long latestStartAt = now + dispatch.slackMilliseconds();
        LocalRun known = registry.findRun(identity);
        if (known != null) {
            // The dispatch of a known run makes its sender the owner, for example after the loss of the earlier one.
            loop.log()
                    .event(
                            EventName.RUN_CLAIMED,
                            EventKey.RUN,
                            identity,
                            EventKey.OWNER,
                            owner.incarnation(),
                            EventKey.BEFORE,
                            known.owner(),
                            EventKey.AFTER,
                            now - known.ownerChangedOrFinishedAt());
            known.claim(owner.incarnation(), now);
            known.setDurable(dispatch.durable());
            known.setWithoutStartReport(dispatch.withoutStartReport());
            known.setQueue(dispatch.queue());
            known.setExclusive(known.isExclusive() || dispatch.exclusive());
            if (!known.isInPhase(Phase.ENDED)) {
                registry.updateDetails(known, dispatch, needOf(known, dispatch), latestStartAt);
            }
            reports.report(known);
            return;
        }
        LocalRun run = new LocalRun(identity, now);
        run.claim(owner.incarnation(), now);
        run.setDurable(dispatch.durable());
        run.setQueue(dispatch.queue());
        run.setWithoutStartReport(dispatch.withoutStartReport());
        run.setExclusive(dispatch.exclusive());
        run.setDetails(
                dispatch.payload(),
                needOf(run, dispatch),
                dispatch.estimatedMilliseconds(),
                latestStartAt,
                dispatch.urgency());
        Optional<String> refusal = dispatchCheck.refuse(run, dispatch.upstreamNumber());
        if (refusal.isPresent()) {
            reports.reportOutcome(owner, identity, RunOutcome.REFUSED, refusal.get());
            return;
        }
        registry.enqueue(run);
        owner.recordAccepted(run.requiredResources());
        statusSender.scheduleStatusAfterDispatch();
        if (!owner.isStartAllowed(run, now)) {
            statusSender.requestRenewal(owner);
        }
        upstreamController.startQueued();
    }

    /** Returns the resources that a dispatched run takes: all of the upstream's if it has to be the only one there. */
    private Resources needOf(LocalRun run, JobFrame.Dispatch dispatch) {
        return run.isExclusive() ? upstreamController.state().capacity() : dispatch.need();
    }

    private void handleWithdrawal(OwnerLease owner, RunIdentity identity) {
        LocalRun run = registry.findRun(identity);
        if (run != null) {
            upstreamController.withdraw(run, "withdrawn");
        } else if (upstreamController.isEndOfUnknownRunProved()) {
            reports.reportOutcome(owner, identity, RunOutcome.STOPPED, "unknown");
        } else {
            // The inventory after the first listing tells the owner whether the run is active.
            loop.log()
                    .event(
                            EventName.WITHDRAWAL_DEFERRED,
                            EventKey.RUN,
                            identity,
                            EventKey.OWNER,
                            owner.incarnation(),
                            EventKey.REASON,
                            "upstream-not-listed");
        }
    }

    private void tick() {
        loop.after(LEASE_CHECK_MILLISECONDS, this::tick);
        leaseExpiry.endExpiredRuns(loop.monotonicMilliseconds() + LEASE_CHECK_MILLISECONDS);
        forgetSilentOwners();
        returnRunsOfEvacuatedZone();
        unclaimedRuns.retainCompletionsLocally();
        unclaimedRuns.retainOvertakenCompletions();
        upstreamController.tick();
        unclaimedRuns.askEntries();
        statusSender.sendDueRenewalRequests();
        slowdownSender.tick();
    }

    /** Removes owners without a link that have long been silent. */
    private void forgetSilentOwners() {
        long silentSince = loop.monotonicMilliseconds() - 2 * timings.ownerLeaseOnStoredRunsMilliseconds();
        owners.values().removeIf(owner -> !owner.isLinked() && owner.confirmedAt() < silentSince);
    }

    private final class OwnerReporter implements RunListener {
        @Override
        public void runStarted(LocalRun run) {
            if (!run.isWithoutStartReport()) {
                reports.report(run);
            }
            slowdownSender.runStarted(run);
        }

        @Override
        public void runStalled(LocalRun run) {
            reports.reportStall(run);
        }

        @Override
        public void runFinished(LocalRun run) {
            reports.report(run);
            slowdownSender.runEnded(run);
        }

        @Override
        public void crashFoundAfterLapse(LocalRun run) {
            reports.reportCrashAfterLapse(run);
        }

        @Override
        public void crashRetracted(LocalRun run) {
            reports.reportCrashRetracted(run);
        }

        @Override
        public void statusChanged() {
            statusSender.scheduleStatus();
        }

        @Override
        public void upstreamRunsListed() {
            owners.values().stream()
                    .filter(owner -> owner.isLinked())
                    .forEach(owner -> statusSender.sendInventory(owner, /* fencedEntry= */ ""));
        }

        @Override
        public void processSuspended() {
            leases.expireAll();
        }

        @Override
        public boolean isStartAllowed(LocalRun run) {
            return zoneGate.isOpen() && leases.isStartAllowed(run);
        }
    }
}
