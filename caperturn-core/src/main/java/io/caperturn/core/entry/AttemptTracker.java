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
 * <p>A time-out alone never makes a task eligible for another attempt: either the earlier attempt is proven not to have
 * started, or the request is idempotent. Confined to the thread of the {@link EntryMachine}.
 */
final class AttemptTracker {
    private final Scheduler scheduler;
    private final EntryPolicy policy;
    private final RetryBudget retryBudget;
    private final Map<ProcessId, Set<AttemptId>> outstandingBySidecar = new LinkedHashMap<>();
    /** The times at which links were lost, of sidecars that have not reconnected. */
    private final Map<ProcessId, Instant> lostAt = new LinkedHashMap<>();

    AttemptTracker(Scheduler scheduler, EntryPolicy policy) {
        this.scheduler = scheduler;
        this.policy = policy;
        this.retryBudget = new RetryBudget(policy.retryRatio());
    }

    /** Effect of a changed attempt on its submission. */
    sealed interface Effect {
        /** Returns the affected submission. */
        SubmissionProgress progress();

        /** Every task has completed with a result. */
        record AllCompleted(SubmissionProgress progress) implements Effect {}

        /** A task finished without a result and must not be attempted again. */
        record TaskFailed(SubmissionProgress progress, String detail) implements Effect {}

        /** Another entry has adopted the submission. */
        record Superseded(SubmissionProgress progress) implements Effect {}

        /** The attempt is handled, and the submission needs no action. */
        record Unaffected(SubmissionProgress progress) implements Effect {}
    }

    /** Returns the sidecars whose links are open. */
    Collection<ProcessId> linkedSidecars() {
        return outstandingBySidecar.keySet().stream()
                .filter(sidecar -> !lostAt.containsKey(sidecar))
                .toList();
    }

    AttemptId recordPlacement(SubmissionProgress progress, TaskProgress task, ProcessId sidecar, Instant now) {
        AttemptId attempt = new AttemptId(progress.key(task), progress.fence(), task.attemptCount() + 1);
        if (attempt.attempt() == 1) {
            retryBudget.recordFirstAttempt();
        }
        task.markPlaced(attempt, sidecar, now);
        progress.recordPlacement();
        outstandingBySidecar
                .computeIfAbsent(sidecar, ignored -> new LinkedHashSet<>())
                .add(attempt);
        return attempt;
    }

    /**
     * Asks a reconnected sidecar for the states of its attempts, which are in doubt, and abandons the attempts at
     * earlier incarnations of the sidecar.
     */
    List<Effect> onSidecarLinked(
            ProcessId sidecar,
            Map<SubmissionId, SubmissionProgress> submissions,
            List<EntryMachineCommand> commands,
            Instant now) {
        List<Effect> effects = new ArrayList<>();
        for (ProcessId earlier : List.copyOf(outstandingBySidecar.keySet())) {
            boolean replaced = earlier.name().equals(sidecar.name()) && !earlier.equals(sidecar);
            if (replaced) {
                effects.addAll(abandonAttempts(earlier, submissions, "the sidecar " + earlier + " was replaced", now));
            }
        }
        Set<AttemptId> atSidecar = outstandingBySidecar.computeIfAbsent(sidecar, ignored -> new LinkedHashSet<>());
        if (lostAt.remove(sidecar) != null) {
            atSidecar.forEach(attempt -> commands.add(new EntryMachineCommand.SendResolve(sidecar, attempt)));
        }
        return effects;
    }

    void onSidecarLost(ProcessId sidecar, Map<SubmissionId, SubmissionProgress> submissions, Instant now) {
        lostAt.putIfAbsent(sidecar, now);
        for (AttemptId attempt : outstandingBySidecar.getOrDefault(sidecar, Set.of())) {
            TaskProgress task = findOutstanding(attempt, sidecar, submissions);
            if (task != null) {
                task.markInDoubt(now);
            }
        }
    }

    /** Abandons the attempts at sidecars that have not reconnected within the time-out. */
    List<Effect> expireInDoubt(Map<SubmissionId, SubmissionProgress> submissions, Instant now) {
        List<Effect> effects = new ArrayList<>();
        for (Map.Entry<ProcessId, Instant> lost : List.copyOf(lostAt.entrySet())) {
            if (!now.isBefore(lost.getValue().plus(policy.doubtTimeout()))) {
                effects.addAll(abandonAttempts(
                        lost.getKey(), submissions, "the sidecar " + lost.getKey() + " did not reconnect", now));
            }
        }
        return effects;
    }

    List<Effect> onReports(
            EntryEvent.ReportsReceived received,
            Map<SubmissionId, SubmissionProgress> submissions,
            List<EntryMachineCommand> commands,
            Instant now) {
        List<Effect> effects = new ArrayList<>();
        for (AttemptReport report : received.reports()) {
            SubmissionProgress progress = submissions.get(report.attempt().key().submission());
            TaskProgress task = findOutstanding(report.attempt(), received.sidecar(), submissions);
            if (task == null) {
                commands.add(new EntryMachineCommand.Publish(
                        new EntryOccurrence.LateReportDropped(report.attempt(), received.sidecar())));
                continue;
            }
            publishAttemptEnded(report, task, commands, now);
            effects.addAll(applyState(progress, task, report.state(), now));
        }
        return effects;
    }

    List<Effect> onResolved(
            EntryEvent.AttemptResolved resolved, Map<SubmissionId, SubmissionProgress> submissions, Instant now) {
        TaskProgress task = findOutstanding(resolved.attempt(), resolved.sidecar(), submissions);
        if (task == null) {
            return List.of();
        }
        return applyState(submissions.get(resolved.attempt().key().submission()), task, resolved.state(), now);
    }

    List<Effect> onNotSent(
            EntryEvent.DispatchNotSent notSent, Map<SubmissionId, SubmissionProgress> submissions, Instant now) {
        List<Effect> effects = new ArrayList<>();
        for (AttemptId attempt : notSent.attempts()) {
            TaskProgress task = findOutstanding(attempt, notSent.sidecar(), submissions);
            if (task != null) {
                SubmissionProgress progress = submissions.get(attempt.key().submission());
                effects.addAll(applyState(progress, task, new AttemptState.NotStarted(NotStartedReason.FULL), now));
            }
        }
        return effects;
    }

    /** Takes over the attempts of a submission of a lost owner, one for each task that a sidecar's ledger holds. */
    List<Effect> adoptAttempts(
            SubmissionProgress progress, Map<String, SubmissionAdoption.SidecarReport> reports, Instant now) {
        List<Effect> effects = new ArrayList<>();
        reports.forEach((name, report) -> {
            TaskProgress task = progress.task(name);
            if (task != null) {
                task.markAdopted(report.report().attempt(), report.sidecar(), now);
                progress.recordPlacement();
                outstandingBySidecar
                        .computeIfAbsent(report.sidecar(), ignored -> new LinkedHashSet<>())
                        .add(report.report().attempt());
                effects.addAll(applyState(progress, task, report.report().state(), now));
            }
        });
        return effects;
    }

    /** Drops the outstanding attempts of a submission that now belongs to another entry. */
    void dropOutstanding(SubmissionProgress progress, Instant now) {
        progress.tasks().stream().filter(TaskProgress::isOutstanding).forEach(task -> {
            finishAttempt(progress, task, PlacementOutcome.UNKNOWN, Duration.ZERO, now);
            task.markFailed(now);
        });
    }

    /** Finishes the attempts at a sidecar with an unknown outcome. */
    private List<Effect> abandonAttempts(
            ProcessId sidecar, Map<SubmissionId, SubmissionProgress> submissions, String detail, Instant now) {
        lostAt.remove(sidecar);
        Set<AttemptId> abandoned = outstandingBySidecar.remove(sidecar);
        List<Effect> effects = new ArrayList<>();
        for (AttemptId attempt : abandoned == null ? Set.<AttemptId>of() : abandoned) {
            TaskProgress task = findOutstanding(attempt, sidecar, submissions);
            if (task != null) {
                SubmissionProgress progress = submissions.get(attempt.key().submission());
                progress.markPossiblyStarted();
                finishAttempt(progress, task, PlacementOutcome.UNKNOWN, Duration.ZERO, now);
                effects.add(retryOrFail(progress, task, detail, now));
            }
        }
        return effects;
    }

    private List<Effect> applyState(SubmissionProgress progress, TaskProgress task, AttemptState state, Instant now) {
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
                yield List.of(new Effect.Superseded(progress));
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
                        progress.isComplete() ? new Effect.AllCompleted(progress) : new Effect.Unaffected(progress));
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

    /** Handles an attempt that is proven not to have started: queues the task again, up to the maximum of attempts. */
    private Effect requeueOrFail(SubmissionProgress progress, TaskProgress task, NotStartedReason reason, Instant now) {
        if (progress.isAnswered()) {
            task.markFailed(now);
            return new Effect.Unaffected(progress);
        }
        if (task.attemptCount() >= policy.maximumAttempts()) {
            task.markFailed(now);
            return new Effect.TaskFailed(
                    progress,
                    "task " + task.spec().id() + " did not start after " + task.attemptCount() + " attempts: "
                            + reason);
        }
        task.markWaiting(now);
        scheduler.enqueue(progress.submission(), List.of(task.spec()), now);
        return new Effect.Unaffected(progress);
    }

    /**
     * Handles an attempt that has or may have started: queues the task again only if the submission is idempotent and
     * the retry budget allows it.
     */
    private Effect retryOrFail(SubmissionProgress progress, TaskProgress task, String detail, Instant now) {
        boolean retryable = !progress.submission().needsClaim() && !progress.isAnswered();
        if (retryable && task.attemptCount() < policy.maximumAttempts() && retryBudget.tryAcquire()) {
            task.markWaiting(now);
            scheduler.enqueue(progress.submission(), List.of(task.spec()), now);
            return new Effect.Unaffected(progress);
        }
        task.markFailed(now);
        return new Effect.TaskFailed(progress, "task " + task.spec().id() + ": " + detail);
    }

    private void finishAttempt(
            SubmissionProgress progress,
            TaskProgress task,
            PlacementOutcome outcome,
            Duration serviceTime,
            Instant now) {
        Set<AttemptId> atSidecar = outstandingBySidecar.get(task.sidecar());
        if (atSidecar != null) {
            atSidecar.remove(task.currentAttempt());
        }
        progress.recordAttemptFinished();
        if (!task.isAdopted()) {
            scheduler.placementFinished(progress.key(task), task.sidecar(), outcome, serviceTime, now);
        }
    }

    /**
     * Returns the task whose current attempt is the given one and outstanding at the sidecar; null if there is none.
     */
    private static TaskProgress findOutstanding(
            AttemptId attempt, ProcessId sidecar, Map<SubmissionId, SubmissionProgress> submissions) {
        SubmissionProgress progress = submissions.get(attempt.key().submission());
        TaskProgress task =
                progress == null ? null : progress.task(attempt.key().task());
        return task != null && task.isOutstanding(attempt, sidecar) ? task : null;
    }

    private static void publishAttemptEnded(
            AttemptReport report, TaskProgress task, List<EntryMachineCommand> commands, Instant now) {
        String outcome = switch (report.state()) {
            case AttemptState.Queued() -> "queued";
            case AttemptState.Running() -> "running";
            case AttemptState.NotStarted(NotStartedReason reason) -> "not-started:" + reason;
            case AttemptState.Done(TaskOutcome.Completed ignored) -> "completed";
            case AttemptState.Done(TaskOutcome.Failed failed) -> "failed:" + failed.reason();
        };
        int colon = outcome.indexOf(':');
        commands.add(new EntryMachineCommand.Publish(new EntryOccurrence.AttemptEnded(
                report.attempt(),
                task.sidecar(),
                colon < 0 ? outcome : outcome.substring(0, colon),
                colon < 0 ? "" : outcome.substring(colon + 1),
                Duration.between(task.stageSince(), now))));
    }
}
