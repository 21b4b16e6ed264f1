package io.caperturn.replay.simulation;

import io.caperturn.core.entry.AdoptionResult;
import io.caperturn.core.entry.ClaimResult;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.RelayResult;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.sidecar.SidecarMachineCommand;
import io.caperturn.core.sidecar.SidecarEvent;
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

/** One replay of a trace with one policy. */
public final class Simulation {
    private static final double START_MILLISECONDS = 100;
    private static final double ENTRY_TICK_MILLISECONDS = 50;
    private static final double SIDECAR_TICK_MILLISECONDS = 100;
    private static final double SECOND_MILLISECONDS = 1_000;
    private static final double LOSS_DETECTION_MILLISECONDS = 1_000;

    private final EventLoop loop = new EventLoop();
    private final Trace trace;
    private final Deployment deployment;
    private final ReplayPolicy policy;
    private final Recorder recorder;
    private final ResponseTimes responses = new ResponseTimes();
    private final Clients clients;
    private final Membership membership;
    private final List<EntryNode> entries = new ArrayList<>();
    private final List<SidecarNode> sidecars = new ArrayList<>();
    private final Map<ProcessId, SidecarNode> sidecarsById = new HashMap<>();
    private final Map<ProcessId, EntryNode> entriesById = new HashMap<>();
    private final Map<SubmissionId, EntryNode> claims = new HashMap<>();
    private int eventsLeft;

    private Simulation(Trace trace, Deployment deployment, ReplayPolicy policy, long seed) {
        this.trace = trace;
        this.deployment = deployment;
        this.policy = policy;
        this.recorder = new Recorder(trace.header().table(), deployment.upstreams());
        this.clients = new Clients(loop, deployment, trace.header(), recorder, responses);
        this.membership = new Membership(deployment.entries());
        for (int number = 0; number < deployment.entries(); number++) {
            EntryNode entry = new EntryNode(
                    number, loop, policy.newScheduler(seed + number, membership.share(number)), this::onCommand);
            entries.add(entry);
            entriesById.put(entry.id(), entry);
        }
        for (int number = 0; number < deployment.upstreams().number(); number++) {
            addSidecar(number);
        }
        clients.connect(entries);
    }

    /**
     * Replays a trace.
     *
     * @param trace the trace
     * @param deployment the machines and delays
     * @param policy what decides
     * @param seed seed of all chance
     * @return the measures
     */
    public static Measures run(Trace trace, Deployment deployment, ReplayPolicy policy, long seed) {
        return new Simulation(trace, deployment, policy, seed).run();
    }

    private Measures run() {
        start();
        boolean more = true;
        while (more && !(eventsLeft == 0 && clients.allAnswered())) {
            more = loop.runNext();
        }
        return new Measures(
                policy.name(),
                Measures.Distribution.of(responses.urgent()),
                Measures.Distribution.of(responses.other()),
                new Measures.Failures(Map.copyOf(responses.failures()), responses.cancellations()),
                new Measures.Traffic(
                        recorder.starts(), recorder.messages(), recorder.frames(), recorder.messagesByType()),
                recorder.lostSlotShare(),
                recorder.worstFairnessDeviation(),
                recorder.limitBreaches());
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
        SidecarNode sidecar = new SidecarNode(
                number,
                loop,
                policy.queuedPerSlot(),
                description,
                trace.header().speed(number),
                recorder,
                this::onCommand);
        sidecars.add(sidecar);
        sidecarsById.put(sidecar.id(), sidecar);
    }

    private void start() {
        entries.forEach(
                entry -> entry.on(new EntryEvent.TableChanged(trace.header().table())));
        sidecars.forEach(sidecar -> {
            sidecar.announce();
            if (policy.sidecarsKnowTable()) {
                sidecar.on(new SidecarEvent.TableChanged(trace.header().table()));
            }
            entries.forEach(entry -> sidecar.on(new SidecarEvent.EntryLinked(entry.id())));
        });
        entries.forEach(entry -> every(ENTRY_TICK_MILLISECONDS, entry::tick));
        sidecars.forEach(sidecar -> every(SIDECAR_TICK_MILLISECONDS, () -> sidecar.on(new SidecarEvent.Tick())));
        every(SECOND_MILLISECONDS, () -> {
            sidecars.forEach(SidecarNode::announce);
            entries.forEach(this::readMembership);
            recorder.closeSecond(loop.nowMilliseconds());
        });
        eventsLeft = trace.events().size();
        for (TraceEvent event : trace.events()) {
            loop.at(START_MILLISECONDS + event.at(), () -> {
                eventsLeft--;
                onTrace(event);
            });
        }
    }

    private void every(double milliseconds, Runnable action) {
        loop.after(milliseconds, () -> {
            action.run();
            every(milliseconds, action);
        });
    }

    private void readMembership(EntryNode entry) {
        if (entry.alive() && !entry.paused()) {
            entry.scheduler().limitShareConfirmed(membership.read(entry.number(), loop.nowMilliseconds()), loop.now());
        }
    }

    private void onTrace(TraceEvent event) {
        switch (event) {
            case TraceEvent.Arrival arrival -> clients.submit(arrival);
            case TraceEvent.Cancellation cancellation -> clients.cancel(cancellation);
            case TraceEvent.Fault fault -> onFault(fault);
        }
    }

    private void onFault(TraceEvent.Fault fault) {
        int target = fault.target();
        switch (fault.fault()) {
            case SPEED -> sidecars.get(target).multiplySpeed(fault.value());
            case FAILING -> sidecars.get(target).failing(true);
            case RECOVERED -> sidecars.get(target).failing(false);
            case UPSTREAM_LOST -> {
                SidecarNode lost = sidecars.get(target);
                lost.kill();
                entries.forEach(entry ->
                        loop.after(LOSS_DETECTION_MILLISECONDS, () -> entry.on(new EntryEvent.SidecarLost(lost.id()))));
            }
            case ENTRY_LOST -> {
                EntryNode lost = entries.get(target);
                lost.kill();
                sidecars.forEach(sidecar -> loop.after(
                        LOSS_DETECTION_MILLISECONDS, () -> sidecar.on(new SidecarEvent.EntryLost(lost.id()))));
                clients.entryLost(lost);
            }
            case ENTRY_PAUSED -> entries.get(target).pause(fault.value());
        }
    }

    private void onCommand(EntryNode entry, EntryMachineCommand command) {
        switch (command) {
            case EntryMachineCommand.RequestClaim request ->
                loop.after(deployment.claimMilliseconds(), () -> settleClaim(entry, request));
            case EntryMachineCommand.RelayToOwner relay ->
                loop.after(
                        deployment.betweenZonesMilliseconds(),
                        () -> entry.on(new EntryEvent.RelaySettled(
                                relay.submission().id(), new RelayResult.OwnerUnreachable("gone"))));
            case EntryMachineCommand.SendDispatches send ->
                send(
                        entry,
                        send.sidecar(),
                        send.dispatches().size(),
                        new SidecarEvent.DispatchReceived(
                                entry.id(),
                                send.sidecar(),
                                send.dispatches().stream()
                                        .map(Simulation::receive)
                                        .toList(),
                                send.demand()));
            case EntryMachineCommand.SendDemand send ->
                send(entry, send.sidecar(), 1, new SidecarEvent.DemandReceived(entry.id(), send.demand()));
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
                loop.after(deployment.claimMilliseconds(), () -> settleAdoption(entry, adopt));
            case EntryMachineCommand.SendFence send ->
                send(
                        entry,
                        send.sidecar(),
                        1,
                        new SidecarEvent.FenceReceived(entry.id(), send.submission(), send.fence()));
            case EntryMachineCommand.SendAnswer given -> clients.answered(given);
            case EntryMachineCommand.Publish ignored -> {}
            case EntryMachineCommand.Drained ignored -> {}
            case EntryMachineCommand.SendFarewell ignored -> {}
        }
    }

    private static SidecarEvent.ReceivedDispatch receive(EntryMachineCommand.Dispatch dispatch) {
        return new SidecarEvent.ReceivedDispatch(
                dispatch.attempt(), dispatch.kind(), dispatch.payload(), Duration.ZERO, dispatch.timeout());
    }

    private void settleClaim(EntryNode entry, EntryMachineCommand.RequestClaim request) {
        SubmissionId submission = request.submission().id();
        EntryNode owner = claims.putIfAbsent(submission, entry);
        ClaimResult result = owner == null || owner == entry
                ? new ClaimResult.Granted(1, owner == null ? request.request() : 0)
                : new ClaimResult.HeldByOther(
                        owner.id(), "address", 1, request.submission().digest(), Instant.EPOCH);
        entry.on(new EntryEvent.ClaimSettled(submission, result));
    }

    private void settleAdoption(EntryNode entry, EntryMachineCommand.AdoptClaim adopt) {
        SubmissionId submission = adopt.submission().id();
        claims.put(submission, entry);
        AdoptionResult result = new AdoptionResult.Adopted(
                adopt.held().fence() + 1, adopt.held().claimedAt(), Set.copyOf(sidecarsById.keySet()));
        entry.on(new EntryEvent.AdoptionSettled(submission, result));
    }

    private void onCommand(SidecarNode sidecar, SidecarMachineCommand command) {
        switch (command) {
            case SidecarMachineCommand.StartRun start ->
                clients.started(start.attempt().key().submission());
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
                send(sidecar, send.entry(), 1, new EntryEvent.WindowChanged(sidecar.id(), send.window()));
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

    private void send(EntryNode from, ProcessId to, int messages, SidecarEvent event) {
        recorder.sent(event.getClass().getSimpleName(), messages);
        SidecarNode sidecar = sidecarsById.get(to);
        loop.after(deployment.delayMilliseconds(from.number(), sidecar.number()), () -> sidecar.on(event));
    }

    private void send(SidecarNode from, ProcessId to, int messages, EntryEvent event) {
        recorder.sent(event.getClass().getSimpleName(), messages);
        EntryNode entry = entriesById.get(to);
        loop.after(deployment.delayMilliseconds(entry.number(), from.number()), () -> entry.on(event));
    }
}
