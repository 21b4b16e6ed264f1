package io.caperturn.core.entry;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.NotStartedReason;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskOutcome;
import io.caperturn.core.schedule.PlacementOutcome;
import io.caperturn.core.schedule.Scheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the outstanding attempts of each sidecar and decides whether a task may be attempted again.
 *
 * <p>An attempt is one dispatch of a task to a sidecar, the process that starts tasks at an upstream and records them
 * in its ledger. An attempt is outstanding until its outcome is known or given up. While the link (connection) to the
 * sidecar is lost, its outstanding attempts are in doubt. The scheduler places a task by choosing its sidecar.
 *
 * <p>A time-out alone never makes a task eligible for another attempt: either the earlier attempt is proven not to have
 * started, or the submission is idempotent, that is, it needs no claim (durable record of its owner). Confined to the
 * thread of the {@link EntryMachine}.
 */
final class AttemptTracker {
    private final Scheduler scheduler;
    private final EntryPolicy policy;
    private final RetryBudget retryBudget;
    /** The outstanding attempts; every linked sidecar has a set, which can be empty. */
    private final Map<ProcessId, Set<AttemptId>> outstandingAttemptsBySidecar = new LinkedHashMap<>();
    /** The time at which the link was lost, for each sidecar that has not reconnected. */
    private final Map<ProcessId, Instant> linkLostAt = new LinkedHashMap<>();

    AttemptTracker(Scheduler scheduler, EntryPolicy policy) {
        this.scheduler = scheduler;
        this.policy = policy;
        this.retryBudget = new RetryBudget(policy.retriesPerFirstAttempt());
    }

    /** Effect that a changed state of an attempt has on its submission. */
    sealed interface SubmissionEffect {
        /** Returns the affected submission. */
        SubmissionProgress progress();

        /** Every task has completed with a result. */
        record AllTasksCompleted(SubmissionProgress progress) implements SubmissionEffect {}

        /** A task has no result and must not be attempted again, so that the submission fails. */
        record TaskFailed(SubmissionProgress progress, String detail) implements SubmissionEffect {}

        /**
         * Another entry process has adopted the submission, and a sidecar therefore refused an attempt as superseded.
         */
        record AdoptedByOther(SubmissionProgress progress) implements SubmissionEffect {}

        /** The submission needs no action. */
        record NoEffect(SubmissionProgress progress) implements SubmissionEffect {}
    }

    /** Returns the sidecars whose links are open. */
    Collection<ProcessId> linkedSidecars() {
        return outstandingAttemptsBySidecar.keySet().stream()
                .filter(sidecar -> !linkLostAt.containsKey(sidecar))
                .toList();
    }

    AttemptId recordPlacement(SubmissionProgress progress, TaskProgress task, ProcessId sidecar, Instant now) {
        AttemptId attempt = new AttemptId(progress.taskKey(task), progress.fence(), task.attemptCount() + 1);
        if (attempt.attempt() == 1) {
            retryBudget.recordFirstAttempt();
        }
        task.markPlaced(attempt, sidecar, now);
        progress.recordPlacement();
        outstandingAttemptsBySidecar
                .computeIfAbsent(sidecar, ignored -> new LinkedHashSet<>())
                .add(attempt);
        return attempt;
    }

    /**
     * Handles that a sidecar's link opened or its upstream's state changed. If the link was lost before, the sidecar is
     * asked for the states of its attempts in doubt. Attempts at an earlier incarnation (run) of the sidecar process
     * are abandoned.
     */
    List<SubmissionEffect> onSidecarChanged(
            ProcessId sidecar,
            Map<SubmissionId, SubmissionProgress> submissions,
            List<EntryMachineCommand> commands,
            Instant now) {
        List<SubmissionEffect> effects = new ArrayList<>();
        for (ProcessId earlier : List.copyOf(outstandingAttemptsBySidecar.keySet())) {
            boolean replaced = earlier.name().equals(sidecar.name()) && !earlier.equals(sidecar);
            if (replaced) {
                effects.addAll(abandonAttempts(earlier, submissions, "the sidecar " + earlier + " was replaced", now));
            }
        }
        Set<AttemptId> outstanding =
                outstandingAttemptsBySidecar.computeIfAbsent(sidecar, ignored -> new LinkedHashSet<>());
        if (linkLostAt.remove(sidecar) != null) {
            outstanding.forEach(attempt -> commands.add(new EntryMachineCommand.SendResolve(sidecar, attempt)));
        }
        return effects;
    }

    void onSidecarLost(ProcessId sidecar, Map<SubmissionId, SubmissionProgress> submissions, Instant now) {
        linkLostAt.putIfAbsent(sidecar, now);
        for (AttemptId attempt : outstandingAttemptsBySidecar.getOrDefault(sidecar, Set.of())) {
            TaskProgress task = findTaskWithOutstandingAttempt(attempt, sidecar, submissions);
            if (task != null) {
                task.markInDoubt(now);
            }
        }
    }

    /** Abandons the attempts at sidecars that have not reconnected within the time-out. */
    List<SubmissionEffect> abandonAttemptsAtLostSidecars(
            Map<SubmissionId, SubmissionProgress> submissions, Instant now) {
        List<SubmissionEffect> effects = new ArrayList<>();
        for (Map.Entry<ProcessId, Instant> lost : List.copyOf(linkLostAt.entrySet())) {
            if (!now.isBefore(lost.getValue().plus(policy.sidecarReconnectTimeout()))) {
                effects.addAll(abandonAttempts(
                        lost.getKey(), submissions, "the sidecar " + lost.getKey() + " did not reconnect", now));
            }
        }
        return effects;
    }

    List<SubmissionEffect> onReportsReceived(
            EntryEvent.ReportsReceived received,
            Map<SubmissionId, SubmissionProgress> submissions,
            List<EntryMachineCommand> commands,
            Instant now) {
        List<SubmissionEffect> effects = new ArrayList<>();
        for (AttemptReport report : received.reports()) {
            SubmissionProgress progress = submissions.get(report.attempt().key().submission());
            TaskProgress task = findTaskWithOutstandingAttempt(report.attempt(), received.sidecar(), submissions);
            if (task == null) {
                commands.add(new EntryMachineCommand.Publish(
                        new SubmissionLifecycleEvent.LateReportDropped(report.attempt(), received.sidecar())));
                continue;
            }
            publishAttemptEnded(report, task, commands, now);
            effects.addAll(applyState(progress, task, report.state(), now));
        }
        return effects;
    }

    List<SubmissionEffect> onAttemptResolved(
            EntryEvent.AttemptResolved resolved, Map<SubmissionId, SubmissionProgress> submissions, Instant now) {
        TaskProgress task = findTaskWithOutstandingAttempt(resolved.attempt(), resolved.sidecar(), submissions);
        if (task == null) {
            return List.of();
        }
        return applyState(submissions.get(resolved.attempt().key().submission()), task, resolved.state(), now);
    }

    List<SubmissionEffect> onDispatchNotSent(
            EntryEvent.DispatchNotSent notSent, Map<SubmissionId, SubmissionProgress> submissions, Instant now) {
        List<SubmissionEffect> effects = new ArrayList<>();
        for (AttemptId attempt : notSent.attempts()) {
            TaskProgress task = findTaskWithOutstandingAttempt(attempt, notSent.sidecar(), submissions);
            if (task != null) {
                SubmissionProgress progress = submissions.get(attempt.key().submission());
                // As after a refusal by a full sidecar, the task is queued again.
                effects.addAll(applyState(progress, task, new AttemptState.NotStarted(NotStartedReason.FULL), now));
            }
        }
        return effects;
    }

    /**
     * Takes over the attempts that a lost owner of the submission dispatched.
     *
     * @param reports the state of the last attempt in the sidecars' ledgers, by task id; a task without a report stays
     *     unchanged
     */
    List<SubmissionEffect> adoptAttempts(
            SubmissionProgress progress, Map<String, SubmissionAdoption.SidecarReport> reports, Instant now) {
        List<SubmissionEffect> effects = new ArrayList<>();
        reports.forEach((name, report) -> {
            TaskProgress task = progress.findTask(name);
            if (task != null) {
                task.markDispatchedByOtherEntry(report.report().attempt(), report.sidecar(), now);
                progress.recordPlacement();
                outstandingAttemptsBySidecar
                        .computeIfAbsent(report.sidecar(), ignored -> new LinkedHashSet<>())
                        .add(report.report().attempt());
                effects.addAll(applyState(progress, task, report.report().state(), now));
            }
        });
        return effects;
    }

    /** Stops tracking the outstanding attempts of a submission that another entry has adopted. */
    void dropOutstandingAttempts(SubmissionProgress progress, Instant now) {
        progress.tasks().stream().filter(TaskProgress::isOutstanding).forEach(task -> {
            finishAttempt(progress, task, PlacementOutcome.UNKNOWN, Duration.ZERO, now);
            task.markFailed(now);
        });
    }

    /** Gives up the outstanding attempts at a sidecar; whether they ran stays unknown. */
    private List<SubmissionEffect> abandonAttempts(
            ProcessId sidecar, Map<SubmissionId, SubmissionProgress> submissions, String detail, Instant now) {
        linkLostAt.remove(sidecar);
        Set<AttemptId> abandoned = outstandingAttemptsBySidecar.remove(sidecar);
        List<SubmissionEffect> effects = new ArrayList<>();
        for (AttemptId attempt : abandoned == null ? Set.<AttemptId>of() : abandoned) {
            TaskProgress task = findTaskWithOutstandingAttempt(attempt, sidecar, submissions);
            if (task != null) {
                SubmissionProgress progress = submissions.get(attempt.key().submission());
                progress.markPossiblyStarted();
                finishAttempt(progress, task, PlacementOutcome.UNKNOWN, Duration.ZERO, now);
                effects.add(retryOrFail(progress, task, detail, now));
            }
        }
        return effects;
    }

    private List<SubmissionEffect> applyState(
            SubmissionProgress progress, TaskProgress task, AttemptState state, Instant now) {
        return switch (state) {
            case AttemptState.Queued() -> {
                task.markConfirmed(now);
                yield List.of();
            }
            case AttemptState.Running() -> {
                progress.markStarted();
                task.markConfirmed(now);
                yield List.of();
            }
            case AttemptState.NotStarted(NotStartedReason reason)
            when reason == NotStartedReason.SUPERSEDED -> {
                finishAttempt(progress, task, PlacementOutcome.NOT_STARTED, Duration.ZERO, now);
                task.markFailed(now);
                yield List.of(new SubmissionEffect.AdoptedByOther(progress));
            }
            case AttemptState.NotStarted(NotStartedReason reason) -> {
                finishAttempt(progress, task, PlacementOutcome.NOT_STARTED, Duration.ZERO, now);
                yield List.of(requeueOrFail(progress, task, reason, now));
            }
            case AttemptState.Done(TaskOutcome.Completed(String result, Duration serviceTime)) -> {
                finishAttempt(progress, task, PlacementOutcome.COMPLETED, serviceTime, now);
                task.markCompleted(result, now);
                progress.recordTaskCompleted();
                yield List.of(
                        progress.isComplete()
                                ? new SubmissionEffect.AllTasksCompleted(progress)
                                : new SubmissionEffect.NoEffect(progress));
            }
            case AttemptState.Done(TaskOutcome.Failed(Execution execution, String reason, Duration serviceTime)) -> {
                finishAttempt(progress, task, PlacementOutcome.FAILED, serviceTime, now);
                switch (execution) {
                    case RAN -> progress.markStarted();
                    case MAY_HAVE_RUN -> progress.markPossiblyStarted();
                    case NOT_RUN, ATTEMPT_NOT_RUN -> {}
                }
                yield List.of(retryOrFail(progress, task, reason, now));
            }
        };
    }

    /** Queues a task again whose attempt did not start, or fails it after the maximum number of attempts. */
    private SubmissionEffect requeueOrFail(
            SubmissionProgress progress, TaskProgress task, NotStartedReason reason, Instant now) {
        if (progress.isAnswered()) {
            task.markFailed(now);
            return new SubmissionEffect.NoEffect(progress);
        }
        if (task.attemptCount() >= policy.maximumAttempts()) {
            task.markFailed(now);
            return new SubmissionEffect.TaskFailed(
                    progress,
                    "task " + task.spec().id() + " did not start after " + task.attemptCount() + " attempts: "
                            + reason);
        }
        task.markWaiting(now);
        scheduler.enqueue(progress.submission(), List.of(task.spec()), now);
        return new SubmissionEffect.NoEffect(progress);
    }

    /**
     * Queues a task again whose attempt started or may have started, if the submission is idempotent and the retry
     * budget allows it; fails the task otherwise.
     */
    private SubmissionEffect retryOrFail(SubmissionProgress progress, TaskProgress task, String detail, Instant now) {
        boolean retryable = !progress.submission().needsClaim() && !progress.isAnswered();
        if (retryable && task.attemptCount() < policy.maximumAttempts() && retryBudget.tryAcquire()) {
            task.markWaiting(now);
            scheduler.enqueue(progress.submission(), List.of(task.spec()), now);
            return new SubmissionEffect.NoEffect(progress);
        }
        task.markFailed(now);
        return new SubmissionEffect.TaskFailed(progress, "task " + task.spec().id() + ": " + detail);
    }

    private void finishAttempt(
            SubmissionProgress progress,
            TaskProgress task,
            PlacementOutcome outcome,
            Duration serviceTime,
            Instant now) {
        Set<AttemptId> outstanding = outstandingAttemptsBySidecar.get(task.sidecar());
        if (outstanding != null) {
            outstanding.remove(task.currentAttempt());
        }
        progress.recordAttemptFinished();
        // The scheduler knows only the attempts that this entry dispatched.
        if (!task.isDispatchedByOtherEntry()) {
            scheduler.placementFinished(progress.taskKey(task), task.sidecar(), outcome, serviceTime, now);
        }
    }

    /** Returns the task of an attempt if that attempt is still outstanding at the sidecar; null otherwise. */
    private static TaskProgress findTaskWithOutstandingAttempt(
            AttemptId attempt, ProcessId sidecar, Map<SubmissionId, SubmissionProgress> submissions) {
        SubmissionProgress progress = submissions.get(attempt.key().submission());
        TaskProgress task =
                progress == null ? null : progress.findTask(attempt.key().task());
        return task != null && task.isOutstanding(attempt, sidecar) ? task : null;
    }

    private static void publishAttemptEnded(
            AttemptReport report, TaskProgress task, List<EntryMachineCommand> commands, Instant now) {
        String outcomeAndDetail = switch (report.state()) {
            case AttemptState.Queued() -> "queued";
            case AttemptState.Running() -> "running";
            case AttemptState.NotStarted(NotStartedReason reason) -> "not-started:" + reason;
            case AttemptState.Done(TaskOutcome.Completed ignored) -> "completed";
            case AttemptState.Done(TaskOutcome.Failed failed) -> "failed:" + failed.reason();
        };
        int colon = outcomeAndDetail.indexOf(':');
        commands.add(new EntryMachineCommand.Publish(new SubmissionLifecycleEvent.AttemptEnded(
                report.attempt(),
                task.sidecar(),
                colon < 0 ? outcomeAndDetail : outcomeAndDetail.substring(0, colon),
                colon < 0 ? "" : outcomeAndDetail.substring(colon + 1),
                Duration.between(task.stageConfirmedAt(), now))));
    }
}
