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
 * Decision logic of a sidecar (the process beside an upstream) as a state machine: decides which attempts to run a task
 * are started at the upstream, and reports their states to the entries (the processes that accept submissions).
 *
 * <p>An entry holds a claim on each submission whose tasks must not start twice. The claim's fencing token is the
 * {@code fence} of the attempts, which is 0 for idempotent submissions. Each attempt has a line in the {@link Ledger}
 * before it starts, and a task under a claim starts at most once. Each entry has a window, the maximum number of
 * attempts that it may have outstanding (accepted and not finished) here.
 *
 * <p>Confined to one thread; reads no clock and does no input or output. The same events at the same times give the
 * same commands.
 */
public final class SidecarMachine {
    private final ProcessId self;
    private final SidecarPolicy policy;
    private final Ledger ledger;
    private final SlotPool slots;
    private final WindowAllocator windows = new WindowAllocator();
    /** The number of outstanding attempts, by the entry that sent them. */
    private final Map<ProcessId, Integer> outstandingCounts = new HashMap<>();

    /** The reports to send after the current event, by the entry that receives them. */
    private final Map<ProcessId, List<AttemptReport>> pendingReports = new LinkedHashMap<>();

    /** The entry that sent the attempt, for the line of each outstanding attempt. */
    private final Map<LedgerLine, ProcessId> sendersByLine = new HashMap<>();

    private List<SidecarMachineCommand> commands = new ArrayList<>();
    /** The operators' settings of each kind of work. */
    private Table table = Table.EMPTY;

    private UpstreamDescription upstream;
    private Instant lastAnnouncedAt = Instant.MIN;
    private boolean upstreamLeaving;
    /** True while new work is accepted. */
    private boolean serving;

    /** True once a planned stop has begun. */
    private boolean draining;

    private boolean drainedReported;

    /**
     * Creates the machine.
     *
     * @param self the name and incarnation of this sidecar
     * @param policy the time-outs and limits
     */
    public SidecarMachine(ProcessId self, SidecarPolicy policy) {
        this.self = Objects.requireNonNull(self, "self");
        this.policy = Objects.requireNonNull(policy, "policy");
        this.ledger = new Ledger(policy);
        this.slots = new SlotPool(policy.maximumQueuedPerSlot());
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
        // Checks whether the upstream's announcements have stopped, unless this event is one.
        if (!(event instanceof SidecarEvent.UpstreamAnnounced)) {
            updateServing(now);
        }
        switch (event) {
            case SidecarEvent.UpstreamAnnounced announced -> onUpstreamAnnounced(announced, now);
            case SidecarEvent.EntryLinked(ProcessId entry) -> onEntryLinked(entry, now);
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
        sendReportsAndWindows(event instanceof SidecarEvent.Tick, now);
        return commands;
    }

    /**
     * Returns the current load.
     *
     * @return a snapshot of the load
     */
    public SidecarLoad load() {
        return new SidecarLoad(
                slots.runningCount(), slots.queuedCount(), ledger.lineAndFenceCount(), ledger.resultBytes(), serving);
    }

    private void onUpstreamAnnounced(SidecarEvent.UpstreamAnnounced announced, Instant now) {
        boolean isDescriptionChanged = !announced.upstream().equals(upstream);
        upstream = announced.upstream();
        upstreamLeaving = announced.leaving();
        lastAnnouncedAt = now;
        slots.resize(upstream);
        if (!updateServing(now) && isDescriptionChanged) {
            broadcastUpstream(now);
        }
    }

    private void onEntryLinked(ProcessId entry, Instant now) {
        windows.addEntry(entry);
        if (upstream != null) {
            allocateWindows(now);
            sendUpstream(entry);
        }
    }

    private void onDrain(Instant now) {
        draining = true;
        updateServing(now);
    }

    /**
     * Updates whether new work is accepted, and returns whether that changed. If work is no longer accepted, all queued
     * attempts are finished as not started.
     */
    private boolean updateServing(Instant now) {
        boolean isServing = !draining && isUpstreamAvailable(now);
        if (isServing == serving) {
            return false;
        }
        serving = isServing;
        if (!serving) {
            NotStartedReason reason = draining ? NotStartedReason.DRAINING : NotStartedReason.LEAVING;
            slots.removeAllQueued().forEach(line -> finishAttempt(line, new AttemptState.NotStarted(reason), now));
        }
        broadcastUpstream(now);
        return true;
    }

    /** Returns whether the upstream announced itself within the time-out and still asks for work. */
    private boolean isUpstreamAvailable(Instant now) {
        return upstream != null && !upstreamLeaving && !now.isAfter(lastAnnouncedAt.plus(policy.announcementTimeout()));
    }

    private void broadcastUpstream(Instant now) {
        allocateWindows(now);
        windows.entries().forEach(this::sendUpstream);
    }

    private void sendUpstream(ProcessId entry) {
        commands.add(new SidecarMachineCommand.SendUpstream(entry, upstream, serving, windows.markWindowSent(entry)));
    }

    private void onDispatchReceived(SidecarEvent.DispatchReceived received, Instant now) {
        windows.setDemand(received.entry(), received.demand(), now);
        boolean isAddressee = received.addressee().equals(self);
        for (ReceivedDispatch dispatch : received.dispatches()) {
            acceptOrRefuse(received.entry(), isAddressee, dispatch, now);
        }
    }

    /**
     * Accepts or refuses an attempt. If the ledger shows that this attempt or, under a claim, another attempt at the
     * same task was accepted before, the state of the accepted attempt is reported.
     */
    private void acceptOrRefuse(ProcessId entry, boolean isAddressee, ReceivedDispatch dispatch, Instant now) {
        AttemptId attempt = dispatch.attempt();
        LedgerLine line = ledger.find(attempt);
        if (line != null && !line.isNotStarted()) {
            line.subscribe(entry, attempt);
            addReport(entry, attempt, line.state());
            return;
        }
        boolean isSuperseded =
                attempt.fence() < ledger.fenceInForce(attempt.key().submission()) && attempt.fence() > 0;
        if (isSuperseded || (line != null && !line.isOlderThan(attempt))) {
            addReport(entry, attempt, notStarted(isSuperseded ? NotStartedReason.SUPERSEDED : NotStartedReason.FENCED));
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
        sendersByLine.put(accepted, entry);
        outstandingCounts.merge(entry, 1, Integer::sum);
        slots.enqueue(accepted, dispatch, isUrgent(dispatch.kind()));
    }

    /**
     * Returns the reason to refuse an attempt; empty if the attempt is acceptable.
     *
     * @param hasLine whether the ledger has a line for the attempt, so that no room for a new one is needed
     */
    private Optional<NotStartedReason> findRefusal(ReceivedDispatch dispatch, boolean hasLine) {
        boolean isUnderClaim = dispatch.attempt().fence() > 0;
        if (isUnderClaim && dispatch.claimAge().compareTo(policy.ledgerRetention()) > 0) {
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
        boolean isFull = !slots.hasRoom() || !(hasLine || ledger.hasRoomForWork());
        return isFull ? Optional.of(NotStartedReason.FULL) : Optional.empty();
    }

    private boolean isUrgent(String kind) {
        return table.kind(kind).filter(row -> row.urgency() == Urgency.URGENT).isPresent();
    }

    /**
     * Refuses an attempt. If the ledger has room and the attempt is under a claim, a ledger line prevents its start if
     * the dispatch is received again.
     */
    private void refuse(ProcessId entry, AttemptId attempt, NotStartedReason reason, boolean hasLine, Instant now) {
        if (attempt.fence() > 0 && (hasLine || ledger.hasRoomForRefusal())) {
            ledger.write(attempt, notStarted(reason), now);
        }
        addReport(entry, attempt, notStarted(reason));
    }

    private void onResolve(SidecarEvent.ResolveReceived resolve, Instant now) {
        AttemptId attempt = resolve.attempt();
        commands.add(new SidecarMachineCommand.SendResolved(
                resolve.entry(),
                attempt,
                resolve.addressee().equals(self) ? resolve(resolve.entry(), attempt, now) : stateAtOtherIncarnation()));
    }

    /**
     * Returns the state of an attempt. If the attempt was not accepted, a ledger line is written that prevents it from
     * starting later.
     */
    private AttemptState resolve(ProcessId entry, AttemptId attempt, Instant now) {
        LedgerLine line = ledger.find(attempt);
        if (line == null || (line.isNotStarted() && line.isOlderThan(attempt))) {
            return ledger.write(attempt, notStarted(NotStartedReason.FENCED), now)
                    .state();
        }
        line.subscribe(entry, attempt);
        return line.state();
    }

    private static AttemptState stateAtOtherIncarnation() {
        return new AttemptState.Done(
                new TaskOutcome.Failed(Execution.MAY_HAVE_RUN, "another incarnation", Duration.ZERO));
    }

    /**
     * Cancels an attempt: aborts its run, or removes it from the queue. If the ledger line is of another attempt at the
     * task, the attempt of the line is cancelled, but only if the entry subscribed to the line under the named attempt.
     */
    private void cancel(ProcessId entry, AttemptId attempt, Instant now) {
        LedgerLine line = ledger.find(attempt);
        if (line == null || line.isFinished()) {
            return;
        }
        boolean isSubscribed = line.subscribers().contains(new LedgerLine.Subscriber(entry, attempt));
        if (!isSubscribed && !line.attempt().equals(attempt)) {
            return;
        }
        if (line.state() instanceof AttemptState.Running) {
            commands.add(new SidecarMachineCommand.AbortRun(line.attempt()));
            return;
        }
        slots.removeQueued(line);
        finishAttempt(line, notStarted(NotStartedReason.CANCELLED), now);
    }

    private void onFence(SidecarEvent.FenceReceived received, Instant now) {
        long fenceInForce = ledger.raiseFence(received.submission(), received.fence(), now);
        for (LedgerLine line : ledger.linesOf(received.submission())) {
            boolean isQueued = line.state() instanceof AttemptState.Queued;
            if (isQueued && line.attempt().fence() < fenceInForce) {
                slots.removeQueued(line);
                finishAttempt(line, notStarted(NotStartedReason.SUPERSEDED), now);
            }
            line.subscribe(received.entry(), line.attempt());
        }
        commands.add(new SidecarMachineCommand.SendFenced(
                received.entry(), received.submission(), fenceInForce, ledger.reportsOf(received.submission())));
    }

    private void onRunEnded(AttemptId attempt, TaskOutcome outcome, Instant now) {
        LedgerLine line = ledger.find(attempt);
        boolean isRunning =
                line != null && line.attempt().equals(attempt) && line.state() instanceof AttemptState.Running;
        if (!isRunning) {
            return;
        }
        slots.releaseSlot();
        boolean isProvenNotRun =
                outcome instanceof TaskOutcome.Failed failed && failed.execution() == Execution.NOT_RUN;
        finishAttempt(
                line,
                isProvenNotRun ? notStarted(NotStartedReason.REFUSED_BY_UPSTREAM) : new AttemptState.Done(outcome),
                now);
    }

    /**
     * Finishes an attempt and notifies its subscribers, each of which can have named another attempt at the same task.
     * If the attempt did not start, the named attempts must not start either: a ledger line of the newest named attempt
     * prevents this.
     */
    private void finishAttempt(LedgerLine line, AttemptState state, Instant now) {
        ProcessId sender = sendersByLine.remove(line);
        outstandingCounts.computeIfPresent(sender, (ignored, count) -> count == 1 ? null : count - 1);
        LedgerLine newest = line;
        for (LedgerLine.Subscriber subscriber : ledger.changeState(line, state, now)) {
            addReport(subscriber.entry(), subscriber.attempt(), state);
            if (line.isNotStarted() && newest.isOlderThan(subscriber.attempt())) {
                newest = ledger.write(subscriber.attempt(), state, now);
            }
        }
    }

    private void addReport(ProcessId entry, AttemptId attempt, AttemptState state) {
        pendingReports.computeIfAbsent(entry, ignored -> new ArrayList<>()).add(new AttemptReport(attempt, state));
    }

    private void startQueued(Instant now) {
        if (!serving) {
            return;
        }
        Map.Entry<LedgerLine, ReceivedDispatch> next = slots.takeNextForStart();
        while (next != null) {
            ReceivedDispatch dispatch = next.getValue();
            ledger.changeState(next.getKey(), new AttemptState.Running(), now);
            commands.add(new SidecarMachineCommand.StartRun(
                    dispatch.attempt(), dispatch.kind(), dispatch.payload(), dispatch.timeout()));
            next = slots.takeNextForStart();
        }
    }

    /**
     * Sends the collected reports and the windows that have grown, and reports the end of a drain.
     *
     * @param anyGrowth whether to send a window that has grown by only one attempt
     */
    private void sendReportsAndWindows(boolean anyGrowth, Instant now) {
        allocateWindows(now);
        pendingReports.forEach((entry, entryReports) -> {
            if (windows.isLinked(entry)) {
                commands.add(new SidecarMachineCommand.SendReports(entry, entryReports, windows.markWindowSent(entry)));
            }
        });
        pendingReports.clear();
        for (ProcessId entry : windows.findEntriesWithGrownWindow(anyGrowth)) {
            commands.add(new SidecarMachineCommand.SendWindow(entry, windows.markWindowSent(entry)));
        }
        if (draining && !drainedReported && slots.runningCount() == 0) {
            drainedReported = true;
            commands.add(new SidecarMachineCommand.Drained());
        }
    }

    private void allocateWindows(Instant now) {
        windows.allocate(slots.maximumRuns(), serving ? slots.capacity() : 0, outstandingCounts, now);
    }

    private static AttemptState notStarted(NotStartedReason reason) {
        return new AttemptState.NotStarted(reason);
    }
}
