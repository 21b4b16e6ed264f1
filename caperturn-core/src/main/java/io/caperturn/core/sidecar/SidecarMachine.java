package io.caperturn.core.sidecar;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.NotStartedReason;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.model.Urgency;
import io.caperturn.core.sidecar.SidecarEvent.ReceivedDispatch;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * Decision logic of a sidecar: what may start at the upstream, and what entries are told of it.
 *
 * <p>Nothing starts without a line in the ledger, and a line of work under a claim starts at most once. Confined to one
 * thread; reads no clock and does no input or output. The same events at the same times give the same commands.
 */
public final class SidecarMachine {
    private final ProcessId self;
    private final SidecarPolicy policy;
    private final Ledger ledger;
    private final SlotPool slots;
    private final WindowAllocator windows = new WindowAllocator();
    private final Map<ProcessId, Integer> outstanding = new HashMap<>();
    private final Map<ProcessId, List<AttemptReport>> reports = new LinkedHashMap<>();
    private final Map<LedgerLine, ProcessId> owners = new HashMap<>();
    private List<SidecarMachineCommand> commands = new ArrayList<>();
    private Table table = Table.EMPTY;
    private UpstreamDescription upstream;
    private Instant announcedAt = Instant.MIN;
    private boolean leaving;
    private boolean serving;
    private boolean draining;
    private boolean drainedSaid;

    /**
     * Creates the machine.
     *
     * @param self this process, by incarnation
     * @param policy bounds to keep to
     */
    public SidecarMachine(ProcessId self, SidecarPolicy policy) {
        this.self = Objects.requireNonNull(self, "self");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.ledger = new Ledger(policy);
        this.slots = new SlotPool(policy.queuedPerSlot());
    }

    /**
     * Reacts to an event.
     *
     * @param event what happened
     * @param now the time
     * @return what to do, in order
     */
    public List<SidecarMachineCommand> on(SidecarEvent event, Instant now) {
        commands = new ArrayList<>();
        if (!(event instanceof SidecarEvent.UpstreamAnnounced)) {
            updateServing(now);
        }
        switch (event) {
            case SidecarEvent.UpstreamAnnounced announced -> onAnnounced(announced, now);
            case SidecarEvent.EntryLinked(ProcessId entry) -> onLinked(entry, now);
            case SidecarEvent.EntryLost(ProcessId entry) -> windows.lost(entry);
            case SidecarEvent.DispatchReceived received -> onDispatches(received, now);
            case SidecarEvent.DemandReceived(ProcessId entry, int demand) -> windows.demanded(entry, demand, now);
            case SidecarEvent.ResolveReceived resolve -> onResolve(resolve, now);
            case SidecarEvent.CancelReceived cancel ->
                cancel.attempts().forEach(attempt -> cancel(cancel.entry(), attempt, now));
            case SidecarEvent.FenceReceived fence -> onFence(fence, now);
            case SidecarEvent.RunEnded(AttemptId attempt, TaskOutcome outcome) -> onRunEnded(attempt, outcome, now);
            case SidecarEvent.TableChanged(Table newer) -> table = newer;
            case SidecarEvent.DrainRequested() -> onDrain(now);
            case SidecarEvent.Tick() -> ledger.evict(now);
        }
        startWaiting(now);
        flush(event instanceof SidecarEvent.Tick, now);
        return commands;
    }

    /**
     * Returns how much the machine holds.
     *
     * @return the numbers of the moment
     */
    public SidecarLoad load() {
        return new SidecarLoad(slots.running(), slots.queued(), ledger.size(), ledger.resultBytes(), serving);
    }

    private void onAnnounced(SidecarEvent.UpstreamAnnounced announced, Instant now) {
        boolean changed = !announced.upstream().equals(upstream);
        upstream = announced.upstream();
        leaving = announced.leaving();
        announcedAt = now;
        slots.resize(upstream);
        if (!updateServing(now) && changed) {
            tellUpstream(now);
        }
    }

    private void onLinked(ProcessId entry, Instant now) {
        windows.linked(entry);
        if (upstream != null) {
            allocate(now);
            sendUpstream(entry);
        }
    }

    private void onDrain(Instant now) {
        draining = true;
        updateServing(now);
    }

    /** Opens or closes the gate for new work; a closed gate sends back what waits. Returns true if it moved. */
    private boolean updateServing(Instant now) {
        boolean next = !draining && isUpstreamOpen(now);
        if (next == serving) {
            return false;
        }
        serving = next;
        if (!serving) {
            NotStartedReason reason = draining ? NotStartedReason.DRAINING : NotStartedReason.LEAVING;
            slots.removeAll().forEach(line -> end(line, new AttemptState.NotStarted(reason), now));
        }
        tellUpstream(now);
        return true;
    }

    private boolean isUpstreamOpen(Instant now) {
        return upstream != null && !leaving && !now.isAfter(announcedAt.plus(policy.announcementTimeout()));
    }

    private void tellUpstream(Instant now) {
        allocate(now);
        windows.entries().forEach(this::sendUpstream);
    }

    private void sendUpstream(ProcessId entry) {
        commands.add(new SidecarMachineCommand.SendUpstream(entry, upstream, serving, windows.tell(entry)));
    }

    private void onDispatches(SidecarEvent.DispatchReceived received, Instant now) {
        windows.demanded(received.entry(), received.demand(), now);
        boolean addressed = received.addressee().equals(self);
        for (ReceivedDispatch dispatch : received.dispatches()) {
            onDispatch(received.entry(), addressed, dispatch, now);
        }
    }

    private void onDispatch(ProcessId entry, boolean addressed, ReceivedDispatch dispatch, Instant now) {
        AttemptId attempt = dispatch.attempt();
        LedgerLine line = ledger.find(attempt);
        if (line != null && !line.isNotStarted()) {
            line.ask(entry, attempt);
            report(entry, attempt, line.state());
            return;
        }
        boolean fenced = attempt.fence() < ledger.fenceOf(attempt.key().submission()) && attempt.fence() > 0;
        if (fenced || (line != null && !line.isOlderThan(attempt))) {
            report(entry, attempt, notStarted(fenced ? NotStartedReason.SUPERSEDED : NotStartedReason.FENCED));
            return;
        }
        Optional<NotStartedReason> refusal =
                addressed ? findRefusal(dispatch, line != null) : Optional.of(NotStartedReason.WRONG_INCARNATION);
        if (refusal.isPresent()) {
            refuse(entry, attempt, refusal.get(), line != null, now);
            return;
        }
        LedgerLine accepted = ledger.write(attempt, new AttemptState.Queued(), now);
        accepted.ask(entry, attempt);
        owners.put(accepted, entry);
        outstanding.merge(entry, 1, Integer::sum);
        slots.enqueue(accepted, dispatch, isUrgent(dispatch.kind()));
    }

    private Optional<NotStartedReason> findRefusal(ReceivedDispatch dispatch, boolean hasLine) {
        boolean underClaim = dispatch.attempt().fence() > 0;
        if (underClaim && dispatch.claimAge().compareTo(policy.ledgerReach()) > 0) {
            return Optional.of(NotStartedReason.CLAIM_TOO_OLD);
        }
        if (draining) {
            return Optional.of(NotStartedReason.DRAINING);
        }
        if (!serving) {
            return Optional.of(NotStartedReason.LEAVING);
        }
        if (!upstream.kinds().contains(dispatch.kind())) {
            return Optional.of(NotStartedReason.KIND_NOT_SERVED);
        }
        boolean full = !slots.hasRoom() || !(hasLine || ledger.hasRoom());
        return full ? Optional.of(NotStartedReason.FULL) : Optional.empty();
    }

    private boolean isUrgent(String kind) {
        return table.kind(kind).filter(row -> row.urgency() == Urgency.URGENT).isPresent();
    }

    /** Refuses an attempt under a claim for good: its line keeps it from starting if the dispatch comes again. */
    private void refuse(ProcessId entry, AttemptId attempt, NotStartedReason reason, boolean hasLine, Instant now) {
        if (attempt.fence() > 0 && (hasLine || ledger.hasRoomForRefusal())) {
            ledger.write(attempt, notStarted(reason), now);
        }
        report(entry, attempt, notStarted(reason));
    }

    private void onResolve(SidecarEvent.ResolveReceived resolve, Instant now) {
        AttemptId attempt = resolve.attempt();
        commands.add(new SidecarMachineCommand.SendResolved(
                resolve.entry(),
                attempt,
                resolve.addressee().equals(self) ? resolve(resolve.entry(), attempt, now) : unknownHere()));
    }

    private AttemptState resolve(ProcessId entry, AttemptId attempt, Instant now) {
        LedgerLine line = ledger.find(attempt);
        if (line == null || (line.isNotStarted() && line.isOlderThan(attempt))) {
            return ledger.write(attempt, notStarted(NotStartedReason.FENCED), now)
                    .state();
        }
        line.ask(entry, attempt);
        return line.state();
    }

    private static AttemptState unknownHere() {
        return new AttemptState.Done(
                new TaskOutcome.Failed(Execution.MAY_HAVE_RUN, "another incarnation", Duration.ZERO));
    }

    private void cancel(ProcessId entry, AttemptId attempt, Instant now) {
        LedgerLine line = ledger.find(attempt);
        if (line == null || line.hasEnded()) {
            return;
        }
        boolean asked = line.askers().contains(new LedgerLine.Asker(entry, attempt));
        if (!asked && !line.attempt().equals(attempt)) {
            return;
        }
        if (line.state() instanceof AttemptState.Running) {
            commands.add(new SidecarMachineCommand.AbortRun(line.attempt()));
            return;
        }
        slots.remove(line);
        end(line, notStarted(NotStartedReason.CANCELLED), now);
    }

    private void onFence(SidecarEvent.FenceReceived received, Instant now) {
        long inForce = ledger.fence(received.submission(), received.fence(), now);
        for (LedgerLine line : ledger.linesOf(received.submission())) {
            boolean queued = line.state() instanceof AttemptState.Queued;
            if (queued && line.attempt().fence() < inForce) {
                slots.remove(line);
                end(line, notStarted(NotStartedReason.SUPERSEDED), now);
            }
            line.ask(received.entry(), line.attempt());
        }
        commands.add(new SidecarMachineCommand.SendFenced(
                received.entry(), received.submission(), inForce, ledger.reportsOf(received.submission())));
    }

    private void onRunEnded(AttemptId attempt, TaskOutcome outcome, Instant now) {
        LedgerLine line = ledger.find(attempt);
        boolean running =
                line != null && line.attempt().equals(attempt) && line.state() instanceof AttemptState.Running;
        if (!running) {
            return;
        }
        slots.ended();
        boolean refused = outcome instanceof TaskOutcome.Failed failed && failed.execution() == Execution.NOT_RUN;
        end(line, refused ? notStarted(NotStartedReason.REFUSED_BY_UPSTREAM) : new AttemptState.Done(outcome), now);
    }

    /** Ends an attempt; if it did not start, neither does any later attempt whose asker is told so. */
    private void end(LedgerLine line, AttemptState state, Instant now) {
        ProcessId owner = owners.remove(line);
        outstanding.computeIfPresent(owner, (ignored, count) -> count == 1 ? null : count - 1);
        LedgerLine highest = line;
        for (LedgerLine.Asker asker : ledger.change(line, state, now)) {
            report(asker.entry(), asker.as(), state);
            if (line.isNotStarted() && highest.isOlderThan(asker.as())) {
                highest = ledger.write(asker.as(), state, now);
            }
        }
    }

    private void report(ProcessId entry, AttemptId attempt, AttemptState state) {
        reports.computeIfAbsent(entry, ignored -> new ArrayList<>()).add(new AttemptReport(attempt, state));
    }

    private void startWaiting(Instant now) {
        if (!serving) {
            return;
        }
        Map.Entry<LedgerLine, ReceivedDispatch> next = slots.startNext();
        while (next != null) {
            ReceivedDispatch dispatch = next.getValue();
            ledger.change(next.getKey(), new AttemptState.Running(), now);
            commands.add(new SidecarMachineCommand.StartRun(
                    dispatch.attempt(), dispatch.kind(), dispatch.payload(), dispatch.timeout()));
            next = slots.startNext();
        }
    }

    private void flush(boolean anyGrowth, Instant now) {
        allocate(now);
        reports.forEach((entry, due) -> {
            if (windows.isLinked(entry)) {
                commands.add(new SidecarMachineCommand.SendReports(entry, due, windows.tell(entry)));
            }
        });
        reports.clear();
        for (ProcessId entry : windows.grown(anyGrowth)) {
            commands.add(new SidecarMachineCommand.SendWindow(entry, windows.tell(entry)));
        }
        if (draining && !drainedSaid && slots.running() == 0) {
            drainedSaid = true;
            commands.add(new SidecarMachineCommand.Drained());
        }
    }

    private void allocate(Instant now) {
        windows.allocate(slots.limit(), serving ? slots.capacity() : 0, outstanding, now);
    }

    private static AttemptState notStarted(NotStartedReason reason) {
        return new AttemptState.NotStarted(reason);
    }
}
