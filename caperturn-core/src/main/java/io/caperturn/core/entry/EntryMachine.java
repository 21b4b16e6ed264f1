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
import io.caperturn.core.schedule.TaskPlacement;
import io.caperturn.core.schedule.Scheduler;
import io.caperturn.core.schedule.SchedulerView;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
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
    private final List<EntryMachineCommand> commands = new ArrayList<>();
    private final SubmissionBook book;
    private final AttemptTracker attempts;
    private final OwnershipFlow ownership;
    private final DemandTeller demand;
    private long tableVersion;
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
        this.book = new SubmissionBook(scheduler, policy, commands);
        this.attempts = new AttemptTracker(scheduler, policy);
        this.ownership = new OwnershipFlow(scheduler, policy, book, attempts, commands);
        this.demand = new DemandTeller(scheduler);
    }

    /**
     * Reacts to an event.
     *
     * @param event what happened
     * @param now the time
     * @return what to do, in order
     */
    public List<EntryMachineCommand> on(EntryEvent event, Instant now) {
        handle(event, now);
        place(now);
        if (book.open() > 0) {
            tellDemand(event, now);
        }
        sayDrained();
        List<EntryMachineCommand> decided = List.copyOf(commands);
        commands.clear();
        return decided;
    }

    /**
     * Returns how many submissions have no answer yet.
     *
     * @return the number
     */
    public int openSubmissionCount() {
        return book.open();
    }

    /**
     * Tells what the scheduler knows now, for operators.
     *
     * @return the view
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
            case EntryEvent.SubmissionFenced fenced -> ownership.onFenced(fenced, now);
            case EntryEvent.SidecarChanged changed -> onSidecarChanged(changed, now);
            case EntryEvent.SidecarLost lost -> onSidecarLost(lost.sidecar(), now);
            case EntryEvent.FarewellReceived(ProcessId sidecar) -> {
                scheduler.sidecarLost(sidecar);
                commands.add(new EntryMachineCommand.SendFarewell(sidecar));
            }
            case EntryEvent.WindowChanged changed -> scheduler.windowChanged(changed.sidecar(), changed.window());
            case EntryEvent.ReportsReceived reports -> onReports(reports, now);
            case EntryEvent.DispatchNotSent notSent -> apply(attempts.notSent(notSent, book.works(), now), now);
            case EntryEvent.AttemptResolved resolved -> apply(attempts.resolved(resolved, book.works(), now), now);
            case EntryEvent.TableChanged changed -> onTableChanged(changed.table(), now);
            case EntryEvent.LimitShareConfirmed confirmed ->
                scheduler.limitShareConfirmed(confirmed.share(), confirmed.readAt());
            case EntryEvent.DrainRequested() -> draining = true;
            case EntryEvent.Tick() -> onTick(now);
        }
    }

    /** Puts a newer table in force; two sources may hand over their tables in either order. */
    private void onTableChanged(Table table, Instant now) {
        if (table.version() > tableVersion) {
            tableVersion = table.version();
            scheduler.tableChanged(table, now);
        }
    }

    private void onArrived(EntryEvent.SubmissionArrived arrived, Instant now) {
        Submission submission = arrived.submission();
        Work known = book.find(submission.id());
        if (known != null && !known.isAnswered()) {
            join(known, arrived);
            return;
        }
        Optional<AnswerCache.Kept> kept = book.findAnswer(submission.id());
        if (kept.isPresent()) {
            boolean same = kept.get().digest().equals(submission.digest());
            answer(submission, arrived.waiter(), same ? kept.get().answer() : Failures.digestConflict());
        } else if (known != null) {
            refuse(arrived, FailureReason.OVERLOADED, "its earlier run is still ending");
        } else if (draining) {
            refuse(arrived, FailureReason.DRAINING, "this entry is stopping");
        } else if (tableVersion == 0) {
            refuse(arrived, FailureReason.STALE_TABLE, "no table is known yet");
        } else if (!now.isBefore(submission.deadline())) {
            answer(submission, arrived.waiter(), Failures.of(FailureReason.DEADLINE, before(arrived), "already past"));
        } else {
            admit(arrived, now);
        }
    }

    /** Tells what can be said of work that is refused before its claim was looked up. */
    private static Execution before(EntryEvent.SubmissionArrived arrived) {
        if (!arrived.submission().needsClaim()) {
            return Execution.NOT_RUN;
        }
        return arrived.resubmission() ? Execution.MAY_HAVE_RUN : Execution.ATTEMPT_NOT_RUN;
    }

    private void refuse(EntryEvent.SubmissionArrived arrived, FailureReason reason, String detail) {
        answer(arrived.submission(), arrived.waiter(), book.refusal(reason, before(arrived), detail));
    }

    private void join(Work known, EntryEvent.SubmissionArrived arrived) {
        if (!known.submission().digest().equals(arrived.submission().digest())) {
            answer(arrived.submission(), arrived.waiter(), Failures.digestConflict());
            return;
        }
        known.addWaiter(arrived.waiter());
        if (known.phase() == Work.Phase.CLAIMING && before(arrived) == Execution.MAY_HAVE_RUN) {
            known.startIsPossible();
        }
    }

    private void admit(EntryEvent.SubmissionArrived arrived, Instant now) {
        Submission submission = arrived.submission();
        switch (scheduler.admit(submission, now)) {
            case AdmissionDecision.Refused(FailureReason reason, String detail, Optional<Duration> retryAfter) ->
                answer(submission, arrived.waiter(), new Answer.Failed(reason, before(arrived), detail, retryAfter));
            case AdmissionDecision.Admitted admitted -> {
                Work work = new Work(submission, admitted.urgency(), admitted.taskTimeout(), now);
                work.addWaiter(arrived.waiter());
                if (before(arrived) == Execution.MAY_HAVE_RUN) {
                    work.startIsPossible();
                }
                book.add(work);
                ownership.begin(work, now);
            }
        }
    }

    private void answer(Submission submission, long waiter, Answer answer) {
        book.give(submission.id(), List.of(waiter), answer);
    }

    private void onCancel(SubmissionId submission, Instant now) {
        Work work = book.find(submission);
        if (work != null && !work.isAnswered()) {
            book.abandon(work, FailureReason.CANCELLED, "cancelled by the client", now);
        }
    }

    private void onWaiterGone(EntryEvent.WaiterGone gone, Instant now) {
        Work work = book.find(gone.submission());
        if (work == null || work.isAnswered()) {
            return;
        }
        work.removeWaiter(gone.waiter());
        boolean droppable = !work.submission().needsClaim() && !work.hasWaiters();
        if (droppable && !work.hasOutstanding()) {
            book.abandon(work, FailureReason.CANCELLED, "the client is gone", now);
        }
    }

    private void onSidecarChanged(EntryEvent.SidecarChanged changed, Instant now) {
        apply(attempts.sidecarOpened(changed.sidecar(), book.works(), commands, now), now);
        scheduler.sidecarChanged(changed.sidecar(), changed.upstream(), changed.serving(), changed.window(), now);
    }

    private void onSidecarLost(ProcessId sidecar, Instant now) {
        attempts.sidecarLost(sidecar, book.works(), now);
        scheduler.sidecarLost(sidecar);
        demand.forget(sidecar);
    }

    private void onReports(EntryEvent.ReportsReceived received, Instant now) {
        scheduler.windowChanged(received.sidecar(), received.window());
        apply(attempts.reported(received, book.works(), commands, now), now);
    }

    private void onTick(Instant now) {
        book.expire(now);
        apply(attempts.expireDoubts(book.works(), now), now);
        ownership.onTick(now);
        for (SubmissionId unservable : scheduler.findUnservableSubmissions(now)) {
            Work work = book.find(unservable);
            if (work != null && work.phase() == Work.Phase.RUNNING) {
                book.abandon(work, FailureReason.NO_UPSTREAM, "no upstream serves the kind", now);
            }
        }
    }

    /** Acts on what became of submissions after attempts changed. */
    private void apply(List<AttemptTracker.Verdict> verdicts, Instant now) {
        for (AttemptTracker.Verdict verdict : verdicts) {
            Work work = verdict.work();
            if (!work.isAnswered()) {
                switch (verdict) {
                    case AttemptTracker.Verdict.AllCompleted ignored -> book.finish(work, work.assemble(), now);
                    case AttemptTracker.Verdict.TaskFailed failure ->
                        book.abandon(work, FailureReason.TASK_FAILED, failure.detail(), now);
                    case AttemptTracker.Verdict.Superseded ignored -> {
                        if (work.phase() == Work.Phase.RUNNING) {
                            ownership.onSuperseded(work, now);
                        }
                    }
                    case AttemptTracker.Verdict.Settled ignored -> {}
                }
            }
            book.forgetIfSettled(work);
        }
    }

    private void place(Instant now) {
        Map<ProcessId, List<Dispatch>> batches = new LinkedHashMap<>();
        for (TaskPlacement placement : scheduler.place(now)) {
            Work work = book.find(placement.task().submission());
            TaskProgress task = work.task(placement.task().task());
            Duration waited = Duration.between(task.since(), now);
            AttemptId attempt = attempts.placed(work, task, placement.sidecar(), now);
            batches.computeIfAbsent(placement.sidecar(), ignored -> new ArrayList<>())
                    .add(new Dispatch(
                            attempt,
                            work.submission().kind(),
                            task.spec().payload(),
                            work.claimedAt(),
                            work.taskTimeout()));
            commands.add(
                    new EntryMachineCommand.Publish(new EntryOccurrence.Dispatched(attempt, placement.sidecar(), waited)));
        }
        batches.forEach((sidecar, dispatches) -> {
            int left = scheduler.countStartableTasks(sidecar);
            demand.told(sidecar, left, now);
            commands.add(new EntryMachineCommand.SendDispatches(sidecar, dispatches, left));
        });
    }

    private void tellDemand(EntryEvent event, Instant now) {
        switch (event) {
            case EntryEvent.SubmissionArrived ignored -> demand.tellNew(attempts.sidecars(), commands, now);
            case EntryEvent.ClaimSettled ignored -> demand.tellNew(attempts.sidecars(), commands, now);
            case EntryEvent.Tick() -> demand.tellAgain(attempts.sidecars(), commands, now);
            default -> {}
        }
    }

    private void sayDrained() {
        if (draining && book.open() == 0 && !drainedSaid) {
            drainedSaid = true;
            commands.add(new EntryMachineCommand.Drained());
        }
    }
}
