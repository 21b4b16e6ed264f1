package io.caperturn.core.entry;

import io.caperturn.core.model.Answer;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.core.schedule.AdmissionDecision;
import io.caperturn.core.schedule.Scheduler;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Way of a submission from its claim to the entry that runs it: here, at its owner, or here in a lost owner's place.
 *
 * <p>Confined to the thread of the {@link EntryMachine}.
 */
final class OwnershipFlow {
    private final Scheduler scheduler;
    private final EntryPolicy policy;
    private final SubmissionBook book;
    private final AttemptTracker attempts;
    private final List<EntryMachineCommand> commands;
    private final Map<SubmissionId, Adoption> adoptions = new HashMap<>();
    private long lastRequest;

    OwnershipFlow(
            Scheduler scheduler,
            EntryPolicy policy,
            SubmissionBook book,
            AttemptTracker attempts,
            List<EntryMachineCommand> commands) {
        this.scheduler = scheduler;
        this.policy = policy;
        this.book = book;
        this.attempts = attempts;
        this.commands = commands;
    }

    void begin(Work work, Instant now) {
        if (work.submission().needsClaim()) {
            requestClaim(work);
        } else {
            run(work, 0, now);
        }
    }

    void onClaimSettled(EntryEvent.ClaimSettled settled, Instant now) {
        Work work = book.find(settled.submission());
        if (work == null || work.phase() != Work.Phase.CLAIMING) {
            return;
        }
        switch (settled.result()) {
            case ClaimResult.Granted(long fence, long request) -> {
                boolean fresh = request == work.claimRequest();
                if (fresh || book.neverStarted().contains(work.submission(), request)) {
                    work.claiming(request);
                    work.startIsExcluded();
                    run(work, fence, now);
                } else {
                    fail(work, FailureReason.ANSWER_EXPIRED, "its answer is no longer kept", now);
                }
            }
            case ClaimResult.HeldByOther held -> {
                if (held.digest().equals(work.submission().digest())) {
                    work.relayed(held);
                    commands.add(new EntryMachineCommand.RelayToOwner(work.submission(), held.owner(), held.ownerAddress()));
                } else {
                    scheduler.releaseReservation(work.submission());
                    book.finish(work, Failures.digestConflict(), now);
                }
            }
            case ClaimResult.Unavailable(String detail) -> {
                scheduler.releaseReservation(work.submission());
                book.neverStarted().add(work.submission(), work.claimRequest(), 0);
                book.finish(work, book.refusal(FailureReason.STORE_UNAVAILABLE, work.execution(), detail), now);
            }
        }
    }

    void onRelaySettled(EntryEvent.RelaySettled settled, Instant now) {
        Work work = book.find(settled.submission());
        if (work == null || work.phase() != Work.Phase.RELAYED) {
            return;
        }
        switch (settled.result()) {
            case RelayResult.Answered(Answer answer) -> {
                scheduler.releaseReservation(work.submission());
                book.finish(work, answer, now);
            }
            case RelayResult.OwnerUnreachable(String detail) -> {
                Duration age = Duration.between(work.held().claimedAt(), now);
                if (work.isSuperseded() || age.compareTo(policy.adoptionReach()) > 0) {
                    fail(work, FailureReason.OWNER_LOST, detail, now);
                } else {
                    work.adopting();
                    work.claiming(++lastRequest);
                    commands.add(new EntryMachineCommand.AdoptClaim(work.submission(), work.held(), work.claimRequest()));
                }
            }
        }
    }

    void onAdoptionSettled(EntryEvent.AdoptionSettled settled, Instant now) {
        Work work = book.find(settled.submission());
        if (work == null || work.phase() != Work.Phase.ADOPTING) {
            return;
        }
        switch (settled.result()) {
            case AdoptionResult.Failed(String detail) -> fail(work, FailureReason.OWNER_LOST, detail, now);
            case AdoptionResult.Adopted adopted -> {
                Adoption adoption = new Adoption(adopted, now.plus(policy.adoptionTimeout()));
                adoptions.put(work.id(), adoption);
                adopted.sidecars()
                        .forEach(sidecar ->
                                commands.add(new EntryMachineCommand.SendFence(sidecar, work.id(), adopted.fence())));
                settleAdoption(work, adoption, now);
            }
        }
    }

    void onFenced(EntryEvent.SubmissionFenced fenced, Instant now) {
        Adoption adoption = adoptions.get(fenced.submission());
        Work work = book.find(fenced.submission());
        if (adoption == null || work == null) {
            return;
        }
        adoption.add(fenced);
        settleAdoption(work, adoption, now);
    }

    void onTick(Instant now) {
        for (SubmissionId submission : List.copyOf(adoptions.keySet())) {
            Work work = book.find(submission);
            if (work == null || work.phase() != Work.Phase.ADOPTING) {
                adoptions.remove(submission);
            } else {
                settleAdoption(work, adoptions.get(submission), now);
            }
        }
    }

    /** Asks again for the claim of a submission that another entry adopted; its answer is then relayed from there. */
    void onSuperseded(Work work, Instant now) {
        scheduler.removeWaitingTasks(work.id());
        attempts.dropOutstanding(work, now);
        work.superseded();
        switch (scheduler.admit(work.submission(), now)) {
            case AdmissionDecision.Admitted ignored -> requestClaim(work);
            case AdmissionDecision.Refused refused -> book.finish(work, ownerLost(refused.detail()), now);
        }
    }

    private void requestClaim(Work work) {
        work.claiming(++lastRequest);
        book.neverStarted().follow(work.submission(), work.claimRequest());
        commands.add(new EntryMachineCommand.RequestClaim(work.submission(), work.claimRequest()));
    }

    private void run(Work work, long fence, Instant now) {
        work.run(fence, book.neverStarted().attemptsUsed(work.id()), now, now);
        book.neverStarted().remove(work.id());
        scheduler.enqueue(work.submission(), work.submission().tasks(), now);
    }

    private void settleAdoption(Work work, Adoption adoption, Instant now) {
        if (!adoption.isSettled(now)) {
            return;
        }
        adoptions.remove(work.id());
        scheduler.releaseReservation(work.submission());
        work.run(adoption.fence(), 0, adoption.claimedAt(), now);
        List<AttemptTracker.Verdict> verdicts = attempts.restore(work, adoption.lines(), now);
        List<TaskSpec> missing = work.tasks().stream()
                .filter(task -> task.stage() == TaskProgress.Stage.WAITING)
                .map(TaskProgress::spec)
                .toList();
        for (AttemptTracker.Verdict verdict : verdicts) {
            if (verdict instanceof AttemptTracker.Verdict.TaskFailed failure) {
                book.abandon(work, FailureReason.TASK_FAILED, failure.detail(), now);
                return;
            }
        }
        if (work.isComplete()) {
            book.finish(work, work.assemble(), now);
        } else if (!missing.isEmpty() && !adoption.awaited().isEmpty()) {
            work.startIsPossible();
            book.abandon(work, FailureReason.OWNER_LOST, "no word from " + adoption.awaited(), now);
        } else if (!missing.isEmpty()) {
            enqueueMissing(work, missing, now);
        }
    }

    private void enqueueMissing(Work work, List<TaskSpec> missing, Instant now) {
        Submission whole = work.submission();
        Submission rest = new Submission(
                whole.id(),
                whole.kind(),
                whole.urgency(),
                whole.repeatability(),
                whole.deadline(),
                whole.digest(),
                missing);
        switch (scheduler.admit(rest, now)) {
            case AdmissionDecision.Admitted ignored -> scheduler.enqueue(rest, missing, now);
            case AdmissionDecision.Refused refused -> {
                work.startIsPossible();
                book.abandon(work, FailureReason.OWNER_LOST, refused.detail(), now);
            }
        }
    }

    private void fail(Work work, FailureReason reason, String detail, Instant now) {
        work.startIsPossible();
        scheduler.releaseReservation(work.submission());
        book.finish(work, Failures.of(reason, work.execution(), detail), now);
    }

    private static Answer.Failed ownerLost(String detail) {
        return Failures.of(FailureReason.OWNER_LOST, Execution.MAY_HAVE_RUN, detail);
    }
}
