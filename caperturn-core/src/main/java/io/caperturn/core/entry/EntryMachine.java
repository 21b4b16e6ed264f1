package io.caperturn.core.entry;

import io.caperturn.core.entry.EntryMachineCommand.Dispatch;
import io.caperturn.core.model.Answer;
import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Table;
import io.caperturn.core.schedule.AdmissionDecision;
import io.caperturn.core.schedule.Scheduler;
import io.caperturn.core.schedule.SchedulerView;
import io.caperturn.core.schedule.TaskPlacement;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decision logic of an entry (a process that accepts submissions) as a state machine: handles each submission from its
 * arrival to its single answer.
 *
 * <p>A submission is a job or request that consists of tasks. Unless it is idempotent, its tasks start only after a
 * durable claim makes one entry the owner of the submission. The tasks run at upstreams; the sidecar process beside
 * each upstream starts them there. A waiter is a client request that waits for the answer.
 *
 * <p>Confined to one thread; reads no clock and does no input or output. The same events at the same times give the
 * same commands.
 */
public final class EntryMachine {
    private final Scheduler scheduler;
    private final List<EntryMachineCommand> commands = new ArrayList<>();
    private final SubmissionRegistry registry;
    private final AttemptTracker attempts;
    private final OwnershipCoordinator ownership;
    private final DemandNotifier demandNotifier;
    /** The version of the table (the operators' settings of kinds and teams) in force; 0 while none is known. */
    private long tableVersion;

    /** True once a planned stop has begun. */
    private boolean draining;

    private boolean drainedReported;

    /**
     * Creates the machine.
     *
     * @param scheduler the scheduler, which decides order, limits and placement; used by this machine alone
     * @param policy the time-outs and limits
     */
    public EntryMachine(Scheduler scheduler, EntryPolicy policy) {
        this.scheduler = scheduler;
        this.registry = new SubmissionRegistry(scheduler, policy, commands);
        this.attempts = new AttemptTracker(scheduler, policy);
        this.ownership = new OwnershipCoordinator(scheduler, policy, registry, attempts, commands);
        this.demandNotifier = new DemandNotifier(scheduler);
    }

    /**
     * Handles an event.
     *
     * @param event the event
     * @param now the current time
     * @return the commands to execute, in order
     */
    public List<EntryMachineCommand> handleEvent(EntryEvent event, Instant now) {
        handle(event, now);
        dispatchPlacedTasks(now);
        if (registry.unansweredCount() > 0) {
            notifyDemand(event, now);
        }
        reportDrainedOnce();
        List<EntryMachineCommand> decided = List.copyOf(commands);
        commands.clear();
        return decided;
    }

    /**
     * Returns the number of submissions that have no answer yet.
     *
     * @return the number of open submissions
     */
    public int openSubmissionCount() {
        return registry.unansweredCount();
    }

    /**
     * Returns a snapshot of the scheduler's state, to be shown to operators.
     *
     * @return the snapshot
     */
    public SchedulerView view() {
        return scheduler.view();
    }

    private void handle(EntryEvent event, Instant now) {
        switch (event) {
            case EntryEvent.SubmissionArrived arrived -> onArrived(arrived, now);
            case EntryEvent.CancelRequested cancel -> onCancel(cancel.submission(), now);
            case EntryEvent.WaiterGone gone -> onWaiterGone(gone, now);
            case EntryEvent.ClaimSettled settled -> ownership.onClaimSettled(settled, now);
            case EntryEvent.RelaySettled settled -> ownership.onRelaySettled(settled, now);
            case EntryEvent.AdoptionSettled settled -> ownership.onAdoptionSettled(settled, now);
            case EntryEvent.SubmissionFenced fenced -> ownership.onSubmissionFenced(fenced, now);
            case EntryEvent.SidecarChanged changed -> onSidecarChanged(changed, now);
            case EntryEvent.SidecarLost lost -> onSidecarLost(lost.sidecar(), now);
            case EntryEvent.FarewellReceived(ProcessId sidecar) -> {
                // From now on, the scheduler places no task there.
                scheduler.sidecarLost(sidecar);
                commands.add(new EntryMachineCommand.SendFarewell(sidecar));
            }
            case EntryEvent.WindowChanged changed -> scheduler.windowChanged(changed.sidecar(), changed.window());
            case EntryEvent.ReportsReceived reports -> onReportsReceived(reports, now);
            case EntryEvent.DispatchNotSent notSent ->
                applyEffects(attempts.onDispatchNotSent(notSent, registry.submissions(), now), now);
            case EntryEvent.AttemptResolved resolved ->
                applyEffects(attempts.onAttemptResolved(resolved, registry.submissions(), now), now);
            case EntryEvent.TableChanged changed -> onTableChanged(changed.table(), now);
            case EntryEvent.LimitShareConfirmed confirmed ->
                scheduler.limitShareConfirmed(confirmed.share(), confirmed.readAt());
            case EntryEvent.DrainRequested() -> draining = true;
            case EntryEvent.Tick() -> onTick(now);
        }
    }

    /** Applies a table if it is newer than the one in force; tables come from two sources, in no guaranteed order. */
    private void onTableChanged(Table table, Instant now) {
        if (table.version() > tableVersion) {
            tableVersion = table.version();
            scheduler.tableChanged(table, now);
        }
    }

    private void onArrived(EntryEvent.SubmissionArrived arrived, Instant now) {
        Submission submission = arrived.submission();
        SubmissionProgress known = registry.find(submission.id());
        if (known != null && !known.isAnswered()) {
            addWaiter(known, arrived);
            return;
        }
        Optional<AnswerCache.CachedAnswer> cached = registry.findCachedAnswer(submission.id());
        if (cached.isPresent()) {
            boolean isSameBody = cached.get().bodyDigest().equals(submission.digest());
            answer(submission, arrived.waiter(), isSameBody ? cached.get().answer() : FailedAnswers.digestConflict());
        } else if (known != null) {
            refuse(arrived, FailureReason.OVERLOADED, "its earlier run has not finished");
        } else if (draining) {
            refuse(arrived, FailureReason.DRAINING, "this entry is stopping");
        } else if (tableVersion == 0) {
            refuse(arrived, FailureReason.STALE_TABLE, "no table is known yet");
        } else if (!now.isBefore(submission.deadline())) {
            answer(
                    submission,
                    arrived.waiter(),
                    FailedAnswers.of(FailureReason.DEADLINE, executionBeforeClaim(arrived), "already expired"));
        } else {
            admit(arrived, now);
        }
    }

    /**
     * Returns what the answer states about whether tasks ran, if the submission is refused before its claim is read.
     */
    private static Execution executionBeforeClaim(EntryEvent.SubmissionArrived arrived) {
        if (!arrived.submission().needsClaim()) {
            return Execution.NOT_RUN;
        }
        return arrived.resubmission() ? Execution.MAY_HAVE_RUN : Execution.ATTEMPT_NOT_RUN;
    }

    private void refuse(EntryEvent.SubmissionArrived arrived, FailureReason reason, String detail) {
        answer(
                arrived.submission(),
                arrived.waiter(),
                registry.createRefusal(reason, executionBeforeClaim(arrived), detail));
    }

    private void addWaiter(SubmissionProgress known, EntryEvent.SubmissionArrived arrived) {
        if (!known.submission().digest().equals(arrived.submission().digest())) {
            answer(arrived.submission(), arrived.waiter(), FailedAnswers.digestConflict());
            return;
        }
        known.addWaiter(arrived.waiter());
        // In later phases, the claim has shown whether an earlier request could have started tasks.
        if (known.phase() == SubmissionProgress.Phase.CLAIMING
                && executionBeforeClaim(arrived) == Execution.MAY_HAVE_RUN) {
            known.markPossiblyStarted();
        }
    }

    private void admit(EntryEvent.SubmissionArrived arrived, Instant now) {
        Submission submission = arrived.submission();
        switch (scheduler.admit(submission, now)) {
            case AdmissionDecision.Refused(FailureReason reason, String detail, Optional<Duration> retryAfter) ->
                answer(
                        submission,
                        arrived.waiter(),
                        new Answer.Failed(reason, executionBeforeClaim(arrived), detail, retryAfter));
            case AdmissionDecision.Admitted admitted -> {
                SubmissionProgress progress =
                        new SubmissionProgress(submission, admitted.urgency(), admitted.taskTimeout(), now);
                progress.addWaiter(arrived.waiter());
                if (executionBeforeClaim(arrived) == Execution.MAY_HAVE_RUN) {
                    progress.markPossiblyStarted();
                }
                registry.add(progress);
                ownership.claimOrStart(progress, now);
            }
        }
    }

    private void answer(Submission submission, long waiter, Answer answer) {
        registry.sendAnswer(submission.id(), List.of(waiter), answer);
    }

    private void onCancel(SubmissionId submission, Instant now) {
        SubmissionProgress progress = registry.find(submission);
        if (progress != null && !progress.isAnswered()) {
            registry.abandon(progress, FailureReason.CANCELLED, "cancelled by the client", now);
        }
    }

    /**
     * Removes a waiter. A submission under a claim continues without waiters, and its answer is cached for a
     * resubmission. An idempotent submission without waiters is abandoned unless attempts are outstanding.
     */
    private void onWaiterGone(EntryEvent.WaiterGone gone, Instant now) {
        SubmissionProgress progress = registry.find(gone.submission());
        if (progress == null || progress.isAnswered()) {
            return;
        }
        progress.removeWaiter(gone.waiter());
        boolean isAnswerUnneeded = !progress.submission().needsClaim() && !progress.hasWaiters();
        if (isAnswerUnneeded && !progress.hasOutstandingAttempts()) {
            registry.abandon(progress, FailureReason.CANCELLED, "the client disconnected", now);
        }
    }

    private void onSidecarChanged(EntryEvent.SidecarChanged changed, Instant now) {
        applyEffects(attempts.onSidecarChanged(changed.sidecar(), registry.submissions(), commands, now), now);
        scheduler.sidecarChanged(changed.sidecar(), changed.upstream(), changed.serving(), changed.window(), now);
    }

    private void onSidecarLost(ProcessId sidecar, Instant now) {
        attempts.onSidecarLost(sidecar, registry.submissions(), now);
        scheduler.sidecarLost(sidecar);
        demandNotifier.removeSidecar(sidecar);
    }

    private void onReportsReceived(EntryEvent.ReportsReceived received, Instant now) {
        scheduler.windowChanged(received.sidecar(), received.window());
        applyEffects(attempts.onReportsReceived(received, registry.submissions(), commands, now), now);
    }

    private void onTick(Instant now) {
        registry.expireSubmissionsAndAnswers(now);
        applyEffects(attempts.abandonAttemptsAtLostSidecars(registry.submissions(), now), now);
        ownership.onTick(now);
        for (SubmissionId unservable : scheduler.findUnservableSubmissions(now)) {
            SubmissionProgress progress = registry.find(unservable);
            if (progress != null && progress.phase() == SubmissionProgress.Phase.RUNNING) {
                registry.abandon(progress, FailureReason.NO_UPSTREAM, "no upstream serves the kind", now);
            }
        }
    }

    /**
     * Applies the effects of changed attempts to their submissions, and removes submissions that are no longer needed.
     */
    private void applyEffects(List<AttemptTracker.SubmissionEffect> effects, Instant now) {
        for (AttemptTracker.SubmissionEffect effect : effects) {
            SubmissionProgress progress = effect.progress();
            if (!progress.isAnswered()) {
                switch (effect) {
                    case AttemptTracker.SubmissionEffect.AllTasksCompleted ignored ->
                        registry.answer(progress, progress.assembleAnswer(), now);
                    case AttemptTracker.SubmissionEffect.TaskFailed failure ->
                        registry.abandon(progress, FailureReason.TASK_FAILED, failure.detail(), now);
                    case AttemptTracker.SubmissionEffect.AdoptedByOther ignored -> {
                        if (progress.phase() == SubmissionProgress.Phase.RUNNING) {
                            ownership.onAdoptedByOther(progress, now);
                        }
                    }
                    case AttemptTracker.SubmissionEffect.NoEffect ignored -> {}
                }
            }
            registry.removeIfNoLongerNeeded(progress);
        }
    }

    /** Dispatches the tasks that the scheduler places, in one batch for each sidecar. */
    private void dispatchPlacedTasks(Instant now) {
        Map<ProcessId, List<Dispatch>> batches = new LinkedHashMap<>();
        for (TaskPlacement placement : scheduler.place(now)) {
            SubmissionProgress progress = registry.find(placement.task().submission());
            TaskProgress task = progress.findTask(placement.task().task());
            Duration waited = Duration.between(task.stageConfirmedAt(), now);
            AttemptId attempt = attempts.recordPlacement(progress, task, placement.sidecar(), now);
            batches.computeIfAbsent(placement.sidecar(), ignored -> new ArrayList<>())
                    .add(new Dispatch(
                            attempt,
                            progress.submission().kind(),
                            task.spec().payload(),
                            progress.claimedAt(),
                            progress.taskTimeout()));
            commands.add(new EntryMachineCommand.Publish(
                    new SubmissionLifecycleEvent.Dispatched(attempt, placement.sidecar(), waited)));
        }
        batches.forEach((sidecar, dispatches) -> {
            int remainingDemand = scheduler.countStartableTasks(sidecar);
            demandNotifier.recordSentDemand(sidecar, remainingDemand, now);
            commands.add(new EntryMachineCommand.SendDispatches(sidecar, dispatches, remainingDemand));
        });
    }

    /** Sends sidecars the number of tasks that wait for them, after events that may add such tasks and on each tick. */
    private void notifyDemand(EntryEvent event, Instant now) {
        switch (event) {
            case EntryEvent.SubmissionArrived ignored ->
                demandNotifier.sendNewDemand(attempts.linkedSidecars(), commands, now);
            case EntryEvent.ClaimSettled ignored ->
                demandNotifier.sendNewDemand(attempts.linkedSidecars(), commands, now);
            case EntryEvent.Tick() -> demandNotifier.repeatDemand(attempts.linkedSidecars(), commands, now);
            default -> {}
        }
    }

    private void reportDrainedOnce() {
        if (draining && registry.unansweredCount() == 0 && !drainedReported) {
            drainedReported = true;
            commands.add(new EntryMachineCommand.Drained());
        }
    }
}
