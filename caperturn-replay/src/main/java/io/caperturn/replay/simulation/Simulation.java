package io.caperturn.replay.simulation;

import io.caperturn.core.entry.AdoptionResult;
import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.entry.RelayResult;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.sidecar.SidecarEvent;
import io.caperturn.core.sidecar.SidecarMachineCommand;
import io.caperturn.replay.Deployment;
import io.caperturn.replay.policy.ReplayPolicy;
import io.caperturn.replay.report.Measures;
import io.caperturn.replay.trace.Trace;
import io.caperturn.replay.trace.TraceEvent;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Simulation of clients, entries (processes that accept submissions) and sidecars (which start tasks at one upstream
 * each) that replays one trace with one policy in virtual time.
 *
 * <p>A claim is the durable record that makes one entry the owner of a submission, under a fencing token. By adoption,
 * an entry takes over the claim of an unreachable owner.
 */
public final class Simulation {
    /** Virtual time at which the trace starts; before it, the entries learn of the sidecars. */
    private static final double TRACE_START_MILLISECONDS = 100;

    private static final double ENTRY_TICK_MILLISECONDS = 50;
    private static final double SIDECAR_TICK_MILLISECONDS = 100;
    private static final double MILLISECONDS_PER_SECOND = 1_000;
    private static final double LOSS_DETECTION_DELAY_MILLISECONDS = 1_000;

    private final VirtualTimeLoop loop = new VirtualTimeLoop();
    private final Trace trace;
    private final Deployment deployment;
    private final ReplayPolicy policy;
    private final ReplayStatistics statistics;
    private final ResponseTimes responseTimes = new ResponseTimes();
    private final SimulatedClients clients;
    private final SimulatedMembership membership;
    private final List<SimulatedEntry> entries = new ArrayList<>();
    private final List<SimulatedSidecar> sidecars = new ArrayList<>();
    private final Map<ProcessId, SimulatedSidecar> sidecarsById = new HashMap<>();
    private final Map<ProcessId, SimulatedEntry> entriesById = new HashMap<>();
    private final Map<SubmissionId, SimulatedEntry> claimOwners = new HashMap<>();
    private int remainingTraceEvents;

    private Simulation(Trace trace, Deployment deployment, ReplayPolicy policy, long seed) {
        this.trace = trace;
        this.deployment = deployment;
        this.policy = policy;
        this.statistics = new ReplayStatistics(trace.header().table(), deployment.upstreams());
        this.clients = new SimulatedClients(loop, deployment, trace.header(), statistics, responseTimes);
        this.membership = new SimulatedMembership(deployment.entries());
        for (int number = 0; number < deployment.entries(); number++) {
            SimulatedEntry entry = new SimulatedEntry(
                    number,
                    loop,
                    policy.createScheduler(seed + number, membership.currentShare(number)),
                    this::handleCommand);
            entries.add(entry);
            entriesById.put(entry.id(), entry);
        }
        for (int number = 0; number < deployment.upstreams().number(); number++) {
            addSidecar(number);
        }
        clients.setEntries(entries);
    }

    /**
     * Replays a trace.
     *
     * @param trace the trace
     * @param deployment the deployment that is simulated
     * @param policy the scheduling policy
     * @param seed seed of the random number generators
     * @return the measures of the replay
     */
    public static Measures run(Trace trace, Deployment deployment, ReplayPolicy policy, long seed) {
        return new Simulation(trace, deployment, policy, seed).run();
    }

    private Measures run() {
        scheduleEvents();
        boolean hasMoreActions = true;
        while (hasMoreActions && !(remainingTraceEvents == 0 && clients.areAllAnswered())) {
            hasMoreActions = loop.runNext();
        }
        return new Measures(
                policy.name(),
                Measures.Distribution.of(responseTimes.urgent()),
                Measures.Distribution.of(responseTimes.other()),
                new Measures.Failures(Map.copyOf(responseTimes.failures()), responseTimes.cancellations()),
                new Measures.Traffic(
                        statistics.starts(), statistics.messages(), statistics.frames(), statistics.messagesByType()),
                statistics.lostSlotShare(),
                statistics.maximumFairnessDeviation(),
                statistics.limitBreaches());
    }

    private void addSidecar(int number) {
        Deployment.Upstreams upstreams = deployment.upstreams();
        UpstreamDescription description = new UpstreamDescription(
                "executor-" + number,
                Set.copyOf(trace.header().table().kinds().keySet()),
                upstreams.slots(),
                upstreams.connections(),
                "worker-" + number,
                "rack-" + number / 3,
                "zone-" + number % deployment.availabilityZones());
        SimulatedSidecar sidecar = new SimulatedSidecar(
                number,
                loop,
                policy.queuedPerSlot(),
                description,
                trace.header().speed(number),
                statistics,
                this::handleCommand);
        sidecars.add(sidecar);
        sidecarsById.put(sidecar.id(), sidecar);
    }

    private void scheduleEvents() {
        entries.forEach(entry ->
                entry.handleEvent(new EntryEvent.TableChanged(trace.header().table())));
        sidecars.forEach(sidecar -> {
            sidecar.announce();
            if (policy.sidecarsUseTable()) {
                sidecar.handleEvent(new SidecarEvent.TableChanged(trace.header().table()));
            }
            entries.forEach(entry -> sidecar.handleEvent(new SidecarEvent.EntryLinked(entry.id())));
        });
        entries.forEach(entry -> scheduleEvery(ENTRY_TICK_MILLISECONDS, entry::tick));
        sidecars.forEach(sidecar ->
                scheduleEvery(SIDECAR_TICK_MILLISECONDS, () -> sidecar.handleEvent(new SidecarEvent.Tick())));
        scheduleEvery(MILLISECONDS_PER_SECOND, () -> {
            sidecars.forEach(SimulatedSidecar::announce);
            entries.forEach(this::refreshLimitShare);
            statistics.completeSecond(loop.currentMilliseconds());
        });
        remainingTraceEvents = trace.events().size();
        for (TraceEvent event : trace.events()) {
            loop.scheduleAt(TRACE_START_MILLISECONDS + event.at(), () -> {
                remainingTraceEvents--;
                handleTraceEvent(event);
            });
        }
    }

    private void scheduleEvery(double milliseconds, Runnable action) {
        loop.scheduleAfter(milliseconds, () -> {
            action.run();
            scheduleEvery(milliseconds, action);
        });
    }

    private void refreshLimitShare(SimulatedEntry entry) {
        if (entry.isAlive() && !entry.isPaused()) {
            entry.scheduler()
                    .limitShareConfirmed(
                            membership.renewLease(entry.number(), loop.currentMilliseconds()), loop.currentTime());
        }
    }

    private void handleTraceEvent(TraceEvent event) {
        switch (event) {
            case TraceEvent.Arrival arrival -> clients.submit(arrival);
            case TraceEvent.Cancellation cancellation -> clients.cancel(cancellation);
            case TraceEvent.Fault fault -> applyFault(fault);
        }
    }

    private void applyFault(TraceEvent.Fault fault) {
        int target = fault.target();
        switch (fault.fault()) {
            case SPEED -> sidecars.get(target).multiplySpeed(fault.value());
            case FAILING -> sidecars.get(target).setFailing(true);
            case RECOVERED -> sidecars.get(target).setFailing(false);
            case UPSTREAM_LOST -> {
                SimulatedSidecar lost = sidecars.get(target);
                lost.kill();
                entries.forEach(entry -> loop.scheduleAfter(
                        LOSS_DETECTION_DELAY_MILLISECONDS,
                        () -> entry.handleEvent(new EntryEvent.SidecarLost(lost.id()))));
            }
            case ENTRY_LOST -> {
                SimulatedEntry lost = entries.get(target);
                lost.kill();
                sidecars.forEach(sidecar -> loop.scheduleAfter(
                        LOSS_DETECTION_DELAY_MILLISECONDS,
                        () -> sidecar.handleEvent(new SidecarEvent.EntryLost(lost.id()))));
                clients.resubmitFromLostEntry(lost);
            }
            case ENTRY_PAUSED -> entries.get(target).pause(fault.value());
        }
    }

    private void handleCommand(SimulatedEntry entry, EntryMachineCommand command) {
        switch (command) {
            case EntryMachineCommand.RequestClaim request ->
                loop.scheduleAfter(deployment.claimMilliseconds(), () -> answerClaimRequest(entry, request));
            // Clients submit again only after the first entry was lost, so the owner of the claim is unreachable.
            case EntryMachineCommand.RelayToOwner relay ->
                loop.scheduleAfter(
                        deployment.betweenZonesMilliseconds(),
                        () -> entry.handleEvent(new EntryEvent.RelaySettled(
                                relay.submission().id(), new RelayResult.OwnerUnreachable("owner was lost"))));
            case EntryMachineCommand.SendDispatches send ->
                send(
                        entry,
                        send.sidecar(),
                        send.dispatches().size(),
                        new SidecarEvent.DispatchReceived(
                                entry.id(),
                                send.sidecar(),
                                send.dispatches().stream()
                                        .map(Simulation::toReceivedDispatch)
                                        .toList(),
                                send.demand()));
            case EntryMachineCommand.SendDemand send ->
                send(
                        entry,
                        send.sidecar(),
                        /* messages= */ 1,
                        new SidecarEvent.DemandReceived(entry.id(), send.demand()));
            case EntryMachineCommand.SendResolve send ->
                send(
                        entry,
                        send.sidecar(),
                        1,
                        new SidecarEvent.ResolveReceived(entry.id(), send.sidecar(), send.attempt()));
            case EntryMachineCommand.SendCancels send ->
                send(
                        entry,
                        send.sidecar(),
                        send.attempts().size(),
                        new SidecarEvent.CancelReceived(entry.id(), send.attempts()));
            case EntryMachineCommand.AdoptClaim adopt ->
                loop.scheduleAfter(deployment.claimMilliseconds(), () -> answerAdoptionRequest(entry, adopt));
            case EntryMachineCommand.SendFence send ->
                send(
                        entry,
                        send.sidecar(),
                        1,
                        new SidecarEvent.FenceReceived(entry.id(), send.submission(), send.fence()));
            case EntryMachineCommand.SendAnswer answer -> clients.handleAnswer(answer);
            case EntryMachineCommand.Publish ignored -> {}
            case EntryMachineCommand.Drained ignored -> {}
            case EntryMachineCommand.SendFarewell ignored -> {}
        }
    }

    private static SidecarEvent.ReceivedDispatch toReceivedDispatch(EntryMachineCommand.Dispatch dispatch) {
        return new SidecarEvent.ReceivedDispatch(
                dispatch.attempt(),
                dispatch.kind(),
                dispatch.payload(),
                /* claimAge= */ Duration.ZERO,
                dispatch.timeout());
    }

    private void answerClaimRequest(SimulatedEntry entry, EntryMachineCommand.RequestClaim command) {
        SubmissionId submission = command.submission().id();
        SimulatedEntry owner = claimOwners.putIfAbsent(submission, entry);
        // The first owner gets fencing token 1. A repeated claim of the owner is granted with request number 0 instead
        // of that of its first request.
        ClaimResult result = owner == null || owner == entry
                ? new ClaimResult.Granted(1, owner == null ? command.request() : 0)
                : new ClaimResult.HeldByOther(
                        owner.id(),
                        "address",
                        /* fence= */ 1,
                        command.submission().digest(),
                        /* claimedAt= */ Instant.EPOCH);
        entry.handleEvent(new EntryEvent.ClaimSettled(submission, result));
    }

    private void answerAdoptionRequest(SimulatedEntry entry, EntryMachineCommand.AdoptClaim adopt) {
        SubmissionId submission = adopt.submission().id();
        claimOwners.put(submission, entry);
        AdoptionResult result = new AdoptionResult.Adopted(
                adopt.held().fence() + 1, adopt.held().claimedAt(), Set.copyOf(sidecarsById.keySet()));
        entry.handleEvent(new EntryEvent.AdoptionSettled(submission, result));
    }

    private void handleCommand(SimulatedSidecar sidecar, SidecarMachineCommand command) {
        switch (command) {
            case SidecarMachineCommand.StartRun start ->
                clients.handleTaskStart(start.attempt().key().submission());
            case SidecarMachineCommand.SendReports send ->
                send(
                        sidecar,
                        send.entry(),
                        send.reports().size(),
                        new EntryEvent.ReportsReceived(sidecar.id(), send.reports(), send.window()));
            case SidecarMachineCommand.SendResolved send ->
                send(
                        sidecar,
                        send.entry(),
                        1,
                        new EntryEvent.AttemptResolved(sidecar.id(), send.attempt(), send.state()));
            case SidecarMachineCommand.SendWindow send ->
                send(
                        sidecar,
                        send.entry(),
                        /* messages= */ 1,
                        new EntryEvent.WindowChanged(sidecar.id(), send.window()));
            case SidecarMachineCommand.SendUpstream send ->
                send(
                        sidecar,
                        send.entry(),
                        1,
                        new EntryEvent.SidecarChanged(sidecar.id(), send.upstream(), send.serving(), send.window()));
            case SidecarMachineCommand.SendFenced send ->
                send(
                        sidecar,
                        send.entry(),
                        send.reports().size(),
                        new EntryEvent.SubmissionFenced(sidecar.id(), send.submission(), send.fence(), send.reports()));
            case SidecarMachineCommand.AbortRun ignored -> {}
            case SidecarMachineCommand.Drained ignored -> {}
        }
    }

    private void send(SimulatedEntry from, ProcessId to, int messages, SidecarEvent event) {
        statistics.recordFrame(event.getClass().getSimpleName(), messages);
        SimulatedSidecar sidecar = sidecarsById.get(to);
        loop.scheduleAfter(
                deployment.delayMilliseconds(from.number(), sidecar.number()), () -> sidecar.handleEvent(event));
    }

    private void send(SimulatedSidecar from, ProcessId to, int messages, EntryEvent event) {
        statistics.recordFrame(event.getClass().getSimpleName(), messages);
        SimulatedEntry entry = entriesById.get(to);
        loop.scheduleAfter(deployment.delayMilliseconds(entry.number(), from.number()), () -> entry.handleEvent(event));
    }
}
