package io.caperturn.core.entry;

import io.caperturn.core.entry.EntryCommand.Dispatch;
import io.caperturn.core.entry.EntryCommand.Drained;
import io.caperturn.core.entry.EntryCommand.GiveAnswer;
import io.caperturn.core.entry.EntryCommand.Publish;
import io.caperturn.core.entry.EntryCommand.RelayToOwner;
import io.caperturn.core.entry.EntryCommand.RequestClaim;
import io.caperturn.core.entry.EntryCommand.SendCancels;
import io.caperturn.core.entry.EntryCommand.SendDispatches;
import io.caperturn.core.model.Answer;
import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.schedule.Admission;
import io.caperturn.core.schedule.Placement;
import io.caperturn.core.schedule.Scheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decision logic of an entry: life of submissions from arrival to their one answer.
 *
 * <p>Confined to one thread; reads no clock and does no input or output. The same events at the same times give the
 * same commands.
 */
public final class EntryMachine {
    private final Scheduler scheduler;
    private final EntryPolicy policy;
    private final Map<SubmissionId, Work> works = new HashMap<>();
    private final DeadlineQueue deadlines = new DeadlineQueue();
    private final AnswerCache answers;
    private final NeverStartedClaims neverStarted = new NeverStartedClaims();
    private final AttemptTracker attempts;
    private final DemandTeller demand;
    private List<EntryCommand> commands = new ArrayList<>();
    private int open;
    private boolean draining;
    private boolean drainedSaid;

    /**
     * Creates the machine.
     *
     * @param scheduler order, limits and placement; used by this machine alone
     * @param policy bounds to keep to
     */
    public EntryMachine(Scheduler scheduler, EntryPolicy policy) {
        this.scheduler = scheduler;
        this.policy = policy;
        this.answers = new AnswerCache(policy.answerRetention(), policy.maximumAnswerBytes());
        this.attempts = new AttemptTracker(scheduler, policy);
        this.demand = new DemandTeller(scheduler);
    }

    /**
     * Reacts to an event.
     *
     * @param event what happened
     * @param now the time
     * @return what to do, in order
     */
    public List<EntryCommand> on(EntryEvent event, Instant now) {
        commands = new ArrayList<>();
        switch (event) {
            case EntryEvent.SubmissionArrived arrived -> onArrived(arrived.submission(), arrived.waiter(), now);
            case EntryEvent.CancelRequested cancel -> onCancel(cancel.submission(), now);
            case EntryEvent.WaiterGone gone -> onWaiterGone(gone, now);
            case EntryEvent.ClaimSettled settled -> onClaimSettled(settled, now);
            case EntryEvent.RelaySettled settled -> onRelaySettled(settled, now);
            case EntryEvent.SidecarChanged changed -> onSidecarChanged(changed, now);
            case EntryEvent.SidecarLost lost -> onSidecarLost(lost.sidecar(), now);
            case EntryEvent.WindowChanged changed -> scheduler.windowChanged(changed.sidecar(), changed.window());
            case EntryEvent.ReportsReceived reports -> onReports(reports, now);
            case EntryEvent.DispatchNotSent notSent -> apply(attempts.notSent(notSent, works, now), now);
            case EntryEvent.AttemptResolved resolved -> apply(attempts.resolved(resolved, works, now), now);
            case EntryEvent.TableChanged changed -> scheduler.tableChanged(changed.table(), now);
            case EntryEvent.DrainRequested() -> draining = true;
            case EntryEvent.Tick() -> onTick(now);
        }
        place(now);
        switch (event) {
            case EntryEvent.SubmissionArrived ignored -> demand.tellNew(attempts.sidecars(), commands, now);
            case EntryEvent.ClaimSettled ignored -> demand.tellNew(attempts.sidecars(), commands, now);
            case EntryEvent.Tick() -> demand.tellAgain(attempts.sidecars(), commands, now);
            default -> {}
        }
        sayDrained();
        return commands;
    }

    /**
     * Returns how many submissions have no answer yet.
     *
     * @return the number
     */
    public int openSubmissions() {
        return open;
    }

    private void onArrived(Submission submission, long waiter, Instant now) {
        Work known = works.get(submission.id());
        if (known != null && !known.isAnswered()) {
            join(known, submission, waiter);
            return;
        }
        Optional<AnswerCache.Kept> kept = answers.find(submission.id());
        if (kept.isPresent()) {
            boolean same = kept.get().digest().equals(submission.digest());
            give(submission.id(), List.of(waiter), same ? kept.get().answer() : Failures.digestConflict());
            return;
        }
        if (known != null) {
            give(
                    submission.id(),
                    List.of(waiter),
                    refusal(FailureReason.OVERLOADED, "its earlier run is still ending"));
            return;
        }
        if (draining) {
            give(submission.id(), List.of(waiter), refusal(FailureReason.DRAINING, "this entry is stopping"));
            return;
        }
        admit(submission, waiter, now);
    }

    private void join(Work known, Submission submission, long waiter) {
        if (known.submission().digest().equals(submission.digest())) {
            known.addWaiter(waiter);
        } else {
            give(submission.id(), List.of(waiter), Failures.digestConflict());
        }
    }

    private void admit(Submission submission, long waiter, Instant now) {
        if (!now.isBefore(submission.deadline())) {
            give(
                    submission.id(),
                    List.of(waiter),
                    Failures.of(FailureReason.DEADLINE, Execution.NOT_RUN, "already past"));
            return;
        }
        switch (scheduler.admit(submission, now)) {
            case Admission.Refused(FailureReason reason, String detail, Optional<Duration> retryAfter) ->
                give(
                        submission.id(),
                        List.of(waiter),
                        new Answer.Failed(reason, Execution.NOT_RUN, detail, retryAfter));
            case Admission.Admitted admitted -> {
                Work work = new Work(submission, admitted.urgency(), admitted.taskTimeout(), now);
                work.addWaiter(waiter);
                works.put(work.id(), work);
                deadlines.add(submission);
                open++;
                commands.add(new Publish(new EntryOccurrence.Admitted(
                        work.id(),
                        submission.kind(),
                        work.urgency(),
                        submission.tasks().size())));
                if (submission.needsClaim()) {
                    commands.add(new RequestClaim(submission));
                } else {
                    run(work, 0, now);
                }
            }
        }
    }

    private void run(Work work, long fence, Instant now) {
        work.run(fence, neverStarted.attemptsUsed(work.id()), now);
        neverStarted.remove(work.id());
        scheduler.enqueue(work.submission(), work.submission().tasks(), now);
    }

    private void onClaimSettled(EntryEvent.ClaimSettled settled, Instant now) {
        Work work = works.get(settled.submission());
        if (work == null || work.phase() != Work.Phase.CLAIMING) {
            return;
        }
        switch (settled.result()) {
            case ClaimResult.Granted(long fence, boolean existedBefore) -> {
                if (existedBefore && !neverStarted.contains(work.id())) {
                    withdraw(work, Execution.MAY_HAVE_RUN, FailureReason.ANSWER_EXPIRED, "its answer is gone", now);
                } else {
                    run(work, fence, now);
                }
            }
            case ClaimResult.HeldByOther held -> {
                if (!held.digest().equals(work.submission().digest())) {
                    scheduler.withdraw(work.submission());
                    finish(work, Failures.digestConflict(), now);
                } else {
                    scheduler.withdraw(work.submission());
                    work.relayed();
                    commands.add(new RelayToOwner(work.submission(), held.owner(), held.ownerAddress()));
                }
            }
            case ClaimResult.Unavailable(String detail) -> {
                neverStarted.add(work.id(), 0);
                scheduler.withdraw(work.submission());
                finish(work, refusal(FailureReason.STORE_UNAVAILABLE, detail), now);
            }
        }
    }

    private void onRelaySettled(EntryEvent.RelaySettled settled, Instant now) {
        Work work = works.get(settled.submission());
        if (work == null || work.phase() != Work.Phase.RELAYED) {
            return;
        }
        switch (settled.reply()) {
            case RelayReply.Answered(Answer answer) -> finish(work, answer, now);
            case RelayReply.OwnerUnreachable(String detail) ->
                finish(work, Failures.of(FailureReason.OWNER_LOST, Execution.MAY_HAVE_RUN, detail), now);
        }
    }

    private void onCancel(SubmissionId submission, Instant now) {
        Work work = works.get(submission);
        if (work != null && !work.isAnswered()) {
            abandon(work, FailureReason.CANCELLED, "cancelled by the client", now);
        }
    }

    private void onWaiterGone(EntryEvent.WaiterGone gone, Instant now) {
        Work work = works.get(gone.submission());
        if (work == null || work.isAnswered()) {
            return;
        }
        work.removeWaiter(gone.waiter());
        boolean droppable = !work.submission().needsClaim() && !work.hasWaiters();
        if (droppable && !work.hasOutstanding()) {
            abandon(work, FailureReason.CANCELLED, "the client is gone", now);
        }
    }

    private void onSidecarChanged(EntryEvent.SidecarChanged changed, Instant now) {
        apply(attempts.sidecarOpened(changed.sidecar(), works, commands, now), now);
        scheduler.sidecarChanged(changed.sidecar(), changed.upstream(), changed.serving(), changed.window(), now);
    }

    private void onSidecarLost(ProcessId sidecar, Instant now) {
        attempts.sidecarLost(sidecar, works, now);
        scheduler.sidecarLost(sidecar);
        demand.forget(sidecar);
    }

    private void onReports(EntryEvent.ReportsReceived received, Instant now) {
        scheduler.windowChanged(received.sidecar(), received.window());
        apply(attempts.reported(received, works, commands, now), now);
    }

    private void onTick(Instant now) {
        for (SubmissionId due : deadlines.pollDue(now)) {
            Work work = works.get(due);
            if (work != null && !work.isAnswered() && work.isPastDeadline(now)) {
                abandon(work, FailureReason.DEADLINE, "the deadline passed", now);
            }
        }
        apply(attempts.expireDoubts(works, now), now);
        for (SubmissionId unservable : scheduler.findUnservable(now)) {
            Work work = works.get(unservable);
            if (work != null && work.phase() == Work.Phase.RUNNING) {
                abandon(work, FailureReason.NO_UPSTREAM, "no upstream serves the kind", now);
            }
        }
        answers.evict(now);
    }

    /** Acts on what became of works after attempts changed. */
    private void apply(List<AttemptTracker.Verdict> verdicts, Instant now) {
        for (AttemptTracker.Verdict verdict : verdicts) {
            Work work = verdict.work();
            switch (verdict) {
                case AttemptTracker.Verdict.AllCompleted ignored -> {
                    if (!work.isAnswered()) {
                        finish(work, work.assemble(), now);
                    }
                }
                case AttemptTracker.Verdict.TaskFailed failure -> {
                    if (!work.isAnswered()) {
                        abandon(work, FailureReason.TASK_FAILED, failure.detail(), now);
                    }
                }
                case AttemptTracker.Verdict.Settled ignored -> {}
            }
            forgetIfSettled(work);
        }
    }

    /** Ends a submission before it is complete; queued tasks are dropped, outstanding ones cancelled. */
    private void abandon(Work work, FailureReason reason, String detail, Instant now) {
        if (work.phase() != Work.Phase.RUNNING) {
            boolean relayed = work.phase() == Work.Phase.RELAYED;
            withdraw(work, relayed ? Execution.MAY_HAVE_RUN : Execution.NOT_RUN, reason, detail, now);
            return;
        }
        scheduler.remove(work.id());
        Map<ProcessId, List<AttemptId>> cancels = new LinkedHashMap<>();
        work.tasks().stream()
                .filter(TaskProgress::isOutstanding)
                .forEach(task -> cancels.computeIfAbsent(task.sidecar(), ignored -> new ArrayList<>())
                        .add(task.current()));
        cancels.forEach((sidecar, outstanding) -> commands.add(new SendCancels(sidecar, outstanding)));
        finish(work, Failures.of(reason, work.execution(), detail), now);
    }

    private void withdraw(Work work, Execution execution, FailureReason reason, String detail, Instant now) {
        if (work.phase() == Work.Phase.CLAIMING) {
            scheduler.withdraw(work.submission());
            if (execution == Execution.NOT_RUN) {
                neverStarted.add(work.id(), 0);
            }
        }
        finish(work, Failures.of(reason, execution, detail), now);
    }

    private void finish(Work work, Answer answer, Instant now) {
        boolean ranHere =
                work.phase() == Work.Phase.RUNNING && work.submission().needsClaim();
        work.answered(answer);
        open--;
        Optional<FailureReason> failure =
                answer instanceof Answer.Failed refused ? Optional.of(refused.reason()) : Optional.empty();
        Execution execution = answer instanceof Answer.Failed refused ? refused.execution() : Execution.RAN;
        if (ranHere && execution == Execution.NOT_RUN) {
            neverStarted.add(work.id(), work.highestAttempt());
        } else if (ranHere) {
            answers.keep(work.id(), work.submission().digest(), answer, now);
        }
        give(work.id(), work.takeWaiters(), answer);
        commands.add(new Publish(new EntryOccurrence.Answered(
                work.id(),
                work.submission().kind(),
                work.urgency(),
                failure,
                execution,
                Duration.between(work.arrivedAt(), now))));
        forgetIfSettled(work);
    }

    private void forgetIfSettled(Work work) {
        if (work.isAnswered() && !work.hasOutstanding()) {
            works.remove(work.id(), work);
        }
    }

    private void place(Instant now) {
        Map<ProcessId, List<Dispatch>> batches = new LinkedHashMap<>();
        for (Placement placement : scheduler.place(now)) {
            Work work = works.get(placement.task().submission());
            TaskProgress task = work.task(placement.task().task());
            AttemptId attempt = attempts.placed(work, task, placement.sidecar(), now);
            batches.computeIfAbsent(placement.sidecar(), ignored -> new ArrayList<>())
                    .add(new Dispatch(
                            attempt,
                            work.submission().kind(),
                            task.spec().payload(),
                            work.claimedAt(),
                            work.taskTimeout()));
            commands.add(new Publish(new EntryOccurrence.Dispatched(
                    attempt, placement.sidecar(), Duration.between(work.arrivedAt(), now))));
        }
        batches.forEach((sidecar, dispatches) -> {
            int left = scheduler.demandFor(sidecar);
            demand.told(sidecar, left, now);
            commands.add(new SendDispatches(sidecar, dispatches, left));
        });
    }

    private void sayDrained() {
        if (draining && open == 0 && !drainedSaid) {
            drainedSaid = true;
            commands.add(new Drained());
        }
    }

    private void give(SubmissionId submission, List<Long> waiters, Answer answer) {
        if (!waiters.isEmpty()) {
            commands.add(new GiveAnswer(submission, waiters, answer));
        }
    }

    private Answer.Failed refusal(FailureReason reason, String detail) {
        return new Answer.Failed(reason, Execution.NOT_RUN, detail, Optional.of(policy.retryAfter()));
    }
}
