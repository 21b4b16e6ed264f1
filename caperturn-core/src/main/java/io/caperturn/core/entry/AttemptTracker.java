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
 * Knowledge of what became of attempts: which are outstanding where, and whether a task may be tried again.
 *
 * <p>A time-out never makes a task eligible for another attempt; only knowledge that the earlier one did not start
 * does, or the idempotence of the request. Confined to the thread of the {@link EntryMachine}.
 */
final class AttemptTracker {
    private final Scheduler scheduler;
    private final EntryPolicy policy;
    private final RetryBudget retries;
    private final Map<ProcessId, Set<AttemptId>> outstanding = new LinkedHashMap<>();
    private final Map<ProcessId, Instant> lost = new LinkedHashMap<>();

    AttemptTracker(Scheduler scheduler, EntryPolicy policy) {
        this.scheduler = scheduler;
        this.policy = policy;
        this.retries = new RetryBudget(policy.retryRatio());
    }

    /** What a change of attempts means for a submission. */
    sealed interface Verdict {
        /** Returns the submission's state. */
        Work work();

        /** Every task has a result. */
        record AllCompleted(Work work) implements Verdict {}

        /** A task ended without a result and may not be tried again. */
        record TaskFailed(Work work, String detail) implements Verdict {}

        /** Another entry adopted the submission. */
        record Superseded(Work work) implements Verdict {}

        /** An attempt ended; nothing follows for the submission itself. */
        record Settled(Work work) implements Verdict {}
    }

    /** Returns the sidecars whose links are open. */
    Collection<ProcessId> sidecars() {
        return outstanding.keySet().stream()
                .filter(sidecar -> !lost.containsKey(sidecar))
                .toList();
    }

    AttemptId placed(Work work, TaskProgress task, ProcessId sidecar, Instant now) {
        AttemptId attempt = new AttemptId(work.key(task), work.fence(), task.attempts() + 1);
        if (attempt.attempt() == 1) {
            retries.firstAttempt();
        }
        task.placed(attempt, sidecar, now);
        work.taskPlaced();
        outstanding.computeIfAbsent(sidecar, ignored -> new LinkedHashSet<>()).add(attempt);
        return attempt;
    }

    /** Asks about the attempts in doubt at a sidecar that is back, and gives up those at its earlier incarnations. */
    List<Verdict> sidecarOpened(
            ProcessId sidecar, Map<SubmissionId, Work> works, List<EntryMachineCommand> commands, Instant now) {
        List<Verdict> verdicts = new ArrayList<>();
        for (ProcessId earlier : List.copyOf(outstanding.keySet())) {
            boolean replaced = earlier.name().equals(sidecar.name()) && !earlier.equals(sidecar);
            if (replaced) {
                verdicts.addAll(giveUp(earlier, works, "the sidecar " + earlier + " was replaced", now));
            }
        }
        Set<AttemptId> here = outstanding.computeIfAbsent(sidecar, ignored -> new LinkedHashSet<>());
        if (lost.remove(sidecar) != null) {
            here.forEach(attempt -> commands.add(new EntryMachineCommand.SendResolve(sidecar, attempt)));
        }
        return verdicts;
    }

    void sidecarLost(ProcessId sidecar, Map<SubmissionId, Work> works, Instant now) {
        lost.putIfAbsent(sidecar, now);
        for (AttemptId attempt : outstanding.getOrDefault(sidecar, Set.of())) {
            TaskProgress task = find(attempt, sidecar, works);
            if (task != null) {
                task.doubted(now);
            }
        }
    }

    List<Verdict> expireDoubts(Map<SubmissionId, Work> works, Instant now) {
        List<Verdict> verdicts = new ArrayList<>();
        for (Map.Entry<ProcessId, Instant> entry : List.copyOf(lost.entrySet())) {
            if (!now.isBefore(entry.getValue().plus(policy.doubtTimeout()))) {
                verdicts.addAll(giveUp(entry.getKey(), works, "the sidecar " + entry.getKey() + " is gone", now));
            }
        }
        return verdicts;
    }

    List<Verdict> reported(
            EntryEvent.ReportsReceived received,
            Map<SubmissionId, Work> works,
            List<EntryMachineCommand> commands,
            Instant now) {
        List<Verdict> verdicts = new ArrayList<>();
        for (AttemptReport report : received.reports()) {
            Work work = works.get(report.attempt().key().submission());
            TaskProgress task = find(report.attempt(), received.sidecar(), works);
            if (task == null) {
                commands.add(new EntryMachineCommand.Publish(
                        new EntryOccurrence.LateReportDropped(report.attempt(), received.sidecar())));
                continue;
            }
            publishEnd(report, task, commands, now);
            verdicts.addAll(settle(work, task, report.state(), now));
        }
        return verdicts;
    }

    List<Verdict> resolved(EntryEvent.AttemptResolved resolved, Map<SubmissionId, Work> works, Instant now) {
        TaskProgress task = find(resolved.attempt(), resolved.sidecar(), works);
        if (task == null) {
            return List.of();
        }
        return settle(works.get(resolved.attempt().key().submission()), task, resolved.state(), now);
    }

    List<Verdict> notSent(EntryEvent.DispatchNotSent notSent, Map<SubmissionId, Work> works, Instant now) {
        List<Verdict> verdicts = new ArrayList<>();
        for (AttemptId attempt : notSent.attempts()) {
            TaskProgress task = find(attempt, notSent.sidecar(), works);
            if (task != null) {
                Work work = works.get(attempt.key().submission());
                verdicts.addAll(settle(work, task, new AttemptState.NotStarted(NotStartedReason.FULL), now));
            }
        }
        return verdicts;
    }

    /** Takes over what the ledgers hold of a submission whose owner is gone. */
    List<Verdict> restore(Work work, Map<String, Adoption.Line> lines, Instant now) {
        List<Verdict> verdicts = new ArrayList<>();
        lines.forEach((name, line) -> {
            TaskProgress task = work.task(name);
            if (task != null) {
                task.adopted(line.report().attempt(), line.sidecar(), now);
                work.taskPlaced();
                outstanding
                        .computeIfAbsent(line.sidecar(), ignored -> new LinkedHashSet<>())
                        .add(line.report().attempt());
                verdicts.addAll(settle(work, task, line.report().state(), now));
            }
        });
        return verdicts;
    }

    /** Forgets the outstanding attempts of a submission that belongs to another entry now. */
    void dropOutstanding(Work work, Instant now) {
        work.tasks().stream().filter(TaskProgress::isOutstanding).forEach(task -> {
            end(work, task, PlacementOutcome.UNKNOWN, Duration.ZERO, now);
            task.failed(now);
        });
    }

    private List<Verdict> giveUp(ProcessId sidecar, Map<SubmissionId, Work> works, String detail, Instant now) {
        lost.remove(sidecar);
        Set<AttemptId> unknown = outstanding.remove(sidecar);
        List<Verdict> verdicts = new ArrayList<>();
        for (AttemptId attempt : unknown == null ? Set.<AttemptId>of() : unknown) {
            TaskProgress task = find(attempt, sidecar, works);
            if (task != null) {
                Work work = works.get(attempt.key().submission());
                work.startIsPossible();
                end(work, task, PlacementOutcome.UNKNOWN, Duration.ZERO, now);
                verdicts.add(retryOrFail(work, task, detail, now));
            }
        }
        return verdicts;
    }

    private List<Verdict> settle(Work work, TaskProgress task, AttemptState state, Instant now) {
        return switch (state) {
            case AttemptState.Queued() -> {
                task.confirmed(now);
                yield List.of();
            }
            case AttemptState.Running() -> {
                work.startIsKnown();
                task.confirmed(now);
                yield List.of();
            }
            case AttemptState.NotStarted(NotStartedReason reason)
            when reason == NotStartedReason.SUPERSEDED -> {
                end(work, task, PlacementOutcome.NOT_STARTED, Duration.ZERO, now);
                task.failed(now);
                yield List.of(new Verdict.Superseded(work));
            }
            case AttemptState.NotStarted(NotStartedReason reason) -> {
                end(work, task, PlacementOutcome.NOT_STARTED, Duration.ZERO, now);
                yield List.of(placeAgain(work, task, reason, now));
            }
            case AttemptState.Done(TaskOutcome.Completed(String result, Duration serviceTime)) -> {
                end(work, task, PlacementOutcome.COMPLETED, serviceTime, now);
                task.completed(result, now);
                work.taskCompleted();
                yield List.of(work.isComplete() ? new Verdict.AllCompleted(work) : new Verdict.Settled(work));
            }
            case AttemptState.Done(TaskOutcome.Failed(Execution execution, String reason, Duration serviceTime)) -> {
                end(work, task, PlacementOutcome.FAILED, serviceTime, now);
                switch (execution) {
                    case RAN -> work.startIsKnown();
                    case MAY_HAVE_RUN -> work.startIsPossible();
                    case NOT_RUN, ATTEMPT_NOT_RUN -> {}
                }
                yield List.of(retryOrFail(work, task, reason, now));
            }
        };
    }

    private Verdict placeAgain(Work work, TaskProgress task, NotStartedReason reason, Instant now) {
        if (work.isAnswered()) {
            task.failed(now);
            return new Verdict.Settled(work);
        }
        if (task.attempts() >= policy.maximumAttempts()) {
            task.failed(now);
            return new Verdict.TaskFailed(
                    work,
                    "task " + task.spec().id() + " did not start after " + task.attempts() + " attempts: " + reason);
        }
        task.waits(now);
        scheduler.enqueue(work.submission(), List.of(task.spec()), now);
        return new Verdict.Settled(work);
    }

    private Verdict retryOrFail(Work work, TaskProgress task, String detail, Instant now) {
        boolean retryable = !work.submission().needsClaim() && !work.isAnswered();
        if (retryable && task.attempts() < policy.maximumAttempts() && retries.tryRetry()) {
            task.waits(now);
            scheduler.enqueue(work.submission(), List.of(task.spec()), now);
            return new Verdict.Settled(work);
        }
        task.failed(now);
        return new Verdict.TaskFailed(work, "task " + task.spec().id() + ": " + detail);
    }

    private void end(Work work, TaskProgress task, PlacementOutcome how, Duration serviceTime, Instant now) {
        Set<AttemptId> here = outstanding.get(task.sidecar());
        if (here != null) {
            here.remove(task.current());
        }
        work.taskEnded();
        if (!task.isAdopted()) {
            scheduler.placementFinished(work.key(task), task.sidecar(), how, serviceTime, now);
        }
    }

    private static TaskProgress find(AttemptId attempt, ProcessId sidecar, Map<SubmissionId, Work> works) {
        Work work = works.get(attempt.key().submission());
        TaskProgress task = work == null ? null : work.task(attempt.key().task());
        return task != null && task.isOutstanding(attempt, sidecar) ? task : null;
    }

    private static void publishEnd(AttemptReport report, TaskProgress task, List<EntryMachineCommand> commands, Instant now) {
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
                Duration.between(task.since(), now))));
    }
}
