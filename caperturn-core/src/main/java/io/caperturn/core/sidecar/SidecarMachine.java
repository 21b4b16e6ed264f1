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
 * Decision logic of a sidecar as a state machine: decides what may start at the upstream and reports it to the entries.
 *
 * <p>No attempt starts without a line in the ledger, and a line of work under a claim starts at most once. Confined to
 * one thread; reads no clock and does no input or output. The same events at the same times give the same commands.
 */
public final class SidecarMachine {
    private final ProcessId self;
    private final SidecarPolicy policy;
    private final Ledger ledger;
    private final SlotPool slots;
    private final WindowAllocator windows = new WindowAllocator();
    private final Map<ProcessId, Integer> outstanding = new HashMap<>();
    private final Map<ProcessId, List<AttemptReport>> reports = new LinkedHashMap<>();
    private final Map<LedgerLine, ProcessId> senders = new HashMap<>();
    private List<SidecarMachineCommand> commands = new ArrayList<>();
    private Table table = Table.EMPTY;
    private UpstreamDescription upstream;
    private Instant announcedAt = Instant.MIN;
    private boolean leaving;
    private boolean serving;
    private boolean draining;
    private boolean drainedReported;

    /**
     * Creates the machine.
     *
     * @param self this process, by incarnation
     * @param policy the time-outs and limits
     */
    public SidecarMachine(ProcessId self, SidecarPolicy policy) {
        this.self = Objects.requireNonNull(self, "self");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.ledger = new Ledger(policy);
        this.slots = new SlotPool(policy.queuedPerSlot());
    }

    /**
     * Handles an event.
     *
     * @param event the event
     * @param now the current time
     * @return the commands to execute, in order
     */
    public List<SidecarMachineCommand> handleEvent(SidecarEvent event, Instant now) {
        commands = new ArrayList<>();
        if (!(event instanceof SidecarEvent.UpstreamAnnounced)) {
            updateServing(now);
        }
        switch (event) {
            case SidecarEvent.UpstreamAnnounced announced -> onAnnounced(announced, now);
            case SidecarEvent.EntryLinked(ProcessId entry) -> onLinked(entry, now);
            case SidecarEvent.EntryLost(ProcessId entry) -> windows.removeEntry(entry);
            case SidecarEvent.DispatchReceived received -> onDispatchReceived(received, now);
            case SidecarEvent.DemandReceived(ProcessId entry, int demand) -> windows.setDemand(entry, demand, now);
            case SidecarEvent.ResolveReceived resolve -> onResolve(resolve, now);
            case SidecarEvent.CancelReceived cancel ->
                cancel.attempts().forEach(attempt -> cancel(cancel.entry(), attempt, now));
            case SidecarEvent.FenceReceived fence -> onFence(fence, now);
            case SidecarEvent.RunEnded(AttemptId attempt, TaskOutcome outcome) -> onRunEnded(attempt, outcome, now);
            case SidecarEvent.TableChanged(Table newer) -> table = newer;
            case SidecarEvent.DrainRequested() -> onDrain(now);
            case SidecarEvent.Tick() -> ledger.evict(now);
        }
        startQueued(now);
        flush(event instanceof SidecarEvent.Tick, now);
        return commands;
    }

    /**
     * Returns the current load.
     *
     * @return a snapshot of the load
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
            broadcastUpstream(now);
        }
    }

    private void onLinked(ProcessId entry, Instant now) {
        windows.addEntry(entry);
        if (upstream != null) {
            allocate(now);
            sendUpstream(entry);
        }
    }

    private void onDrain(Instant now) {
        draining = true;
        updateServing(now);
    }

    /**
     * Updates whether new work is accepted and returns whether that changed. When it stops, all queued attempts are
     * reported as not started.
     */
    private boolean updateServing(Instant now) {
        boolean next = !draining && isUpstreamOpen(now);
        if (next == serving) {
            return false;
        }
        serving = next;
        if (!serving) {
            NotStartedReason reason = draining ? NotStartedReason.DRAINING : NotStartedReason.LEAVING;
            slots.removeAll().forEach(line -> finish(line, new AttemptState.NotStarted(reason), now));
        }
        broadcastUpstream(now);
        return true;
    }

    private boolean isUpstreamOpen(Instant now) {
        return upstream != null && !leaving && !now.isAfter(announcedAt.plus(policy.announcementTimeout()));
    }

    private void broadcastUpstream(Instant now) {
        allocate(now);
        windows.entries().forEach(this::sendUpstream);
    }

    private void sendUpstream(ProcessId entry) {
        commands.add(new SidecarMachineCommand.SendUpstream(entry, upstream, serving, windows.takeWindowToSend(entry)));
    }

    private void onDispatchReceived(SidecarEvent.DispatchReceived received, Instant now) {
        windows.setDemand(received.entry(), received.demand(), now);
        boolean isAddressee = received.addressee().equals(self);
        for (ReceivedDispatch dispatch : received.dispatches()) {
            acceptOrRefuse(received.entry(), isAddressee, dispatch, now);
        }
    }

    private void acceptOrRefuse(ProcessId entry, boolean isAddressee, ReceivedDispatch dispatch, Instant now) {
        AttemptId attempt = dispatch.attempt();
        LedgerLine line = ledger.find(attempt);
        if (line != null && !line.isNotStarted()) {
            line.subscribe(entry, attempt);
            report(entry, attempt, line.state());
            return;
        }
        boolean fenced = attempt.fence() < ledger.highestFence(attempt.key().submission()) && attempt.fence() > 0;
        if (fenced || (line != null && !line.isOlderThan(attempt))) {
            report(entry, attempt, notStarted(fenced ? NotStartedReason.SUPERSEDED : NotStartedReason.FENCED));
            return;
        }
        Optional<NotStartedReason> refusal =
                isAddressee ? findRefusal(dispatch, line != null) : Optional.of(NotStartedReason.WRONG_INCARNATION);
        if (refusal.isPresent()) {
            refuse(entry, attempt, refusal.get(), line != null, now);
            return;
        }
        LedgerLine accepted = ledger.write(attempt, new AttemptState.Queued(), now);
        accepted.subscribe(entry, attempt);
        senders.put(accepted, entry);
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

    /**
     * Refuses an attempt. The refusal of an attempt under a claim is final: its ledger line prevents a start if the
     * dispatch is received again.
     */
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
                resolve.addressee().equals(self) ? resolve(resolve.entry(), attempt, now) : wrongIncarnation()));
    }

    private AttemptState resolve(ProcessId entry, AttemptId attempt, Instant now) {
        LedgerLine line = ledger.find(attempt);
        if (line == null || (line.isNotStarted() && line.isOlderThan(attempt))) {
            return ledger.write(attempt, notStarted(NotStartedReason.FENCED), now)
                    .state();
        }
        line.subscribe(entry, attempt);
        return line.state();
    }

    private static AttemptState wrongIncarnation() {
        return new AttemptState.Done(
                new TaskOutcome.Failed(Execution.MAY_HAVE_RUN, "another incarnation", Duration.ZERO));
    }

    private void cancel(ProcessId entry, AttemptId attempt, Instant now) {
        LedgerLine line = ledger.find(attempt);
        if (line == null || line.isFinished()) {
            return;
        }
        boolean subscribed = line.subscribers().contains(new LedgerLine.Subscriber(entry, attempt));
        if (!subscribed && !line.attempt().equals(attempt)) {
            return;
        }
        if (line.state() instanceof AttemptState.Running) {
            commands.add(new SidecarMachineCommand.AbortRun(line.attempt()));
            return;
        }
        slots.remove(line);
        finish(line, notStarted(NotStartedReason.CANCELLED), now);
    }

    private void onFence(SidecarEvent.FenceReceived received, Instant now) {
        long inForce = ledger.raiseFence(received.submission(), received.fence(), now);
        for (LedgerLine line : ledger.linesOf(received.submission())) {
            boolean queued = line.state() instanceof AttemptState.Queued;
            if (queued && line.attempt().fence() < inForce) {
                slots.remove(line);
                finish(line, notStarted(NotStartedReason.SUPERSEDED), now);
            }
            line.subscribe(received.entry(), line.attempt());
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
        slots.release();
        boolean refused = outcome instanceof TaskOutcome.Failed failed && failed.execution() == Execution.NOT_RUN;
        finish(line, refused ? notStarted(NotStartedReason.REFUSED_BY_UPSTREAM) : new AttemptState.Done(outcome), now);
    }

    /**
     * Finishes an attempt and notifies its subscribers. If it did not start, a later attempt that a subscriber named is
     * reported as not started as well, and its ledger line prevents it from starting.
     */
    private void finish(LedgerLine line, AttemptState state, Instant now) {
        ProcessId sender = senders.remove(line);
        outstanding.computeIfPresent(sender, (ignored, count) -> count == 1 ? null : count - 1);
        LedgerLine newest = line;
        for (LedgerLine.Subscriber subscriber : ledger.change(line, state, now)) {
            report(subscriber.entry(), subscriber.attempt(), state);
            if (line.isNotStarted() && newest.isOlderThan(subscriber.attempt())) {
                newest = ledger.write(subscriber.attempt(), state, now);
            }
        }
    }

    private void report(ProcessId entry, AttemptId attempt, AttemptState state) {
        reports.computeIfAbsent(entry, ignored -> new ArrayList<>()).add(new AttemptReport(attempt, state));
    }

    private void startQueued(Instant now) {
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
        reports.forEach((entry, entryReports) -> {
            if (windows.isLinked(entry)) {
                commands.add(
                        new SidecarMachineCommand.SendReports(entry, entryReports, windows.takeWindowToSend(entry)));
            }
        });
        reports.clear();
        for (ProcessId entry : windows.findGrown(anyGrowth)) {
            commands.add(new SidecarMachineCommand.SendWindow(entry, windows.takeWindowToSend(entry)));
        }
        if (draining && !drainedReported && slots.running() == 0) {
            drainedReported = true;
            commands.add(new SidecarMachineCommand.Drained());
        }
    }

    private void allocate(Instant now) {
        windows.allocate(slots.maximumRuns(), serving ? slots.capacity() : 0, outstanding, now);
    }

    private static AttemptState notStarted(NotStartedReason reason) {
        return new AttemptState.NotStarted(reason);
    }
}
