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
 * Determines which entry (process that accepts submissions) runs a submission.
 *
 * <p>A claim is a durable record that makes one entry the owner of a submission; each new owner gets a higher fencing
 * token. This entry runs a submission that it claims. If another entry holds the claim, the submission is relayed to
 * that owner. If the owner can't be reached, this entry adopts the submission: it replaces the claim by its own, and
 * asks every sidecar to which the owner could have dispatched for the states of the submission's tasks. A sidecar is
 * the process that starts tasks at an upstream and records them in its ledger.
 *
 * <p>The scheduler reserves queue capacity for an admitted submission until its tasks are enqueued.
 *
 * <p>Confined to the thread of the {@link EntryMachine}.
 */
final class OwnershipCoordinator {
    private final Scheduler scheduler;
    private final EntryPolicy policy;
    private final SubmissionRegistry registry;
    private final AttemptTracker attempts;
    private final List<EntryMachineCommand> commands;
    private final Map<SubmissionId, SubmissionAdoption> adoptions = new HashMap<>();
    /** The number of the last claim request in this run of the process. */
    private long lastClaimRequest;

    OwnershipCoordinator(
            Scheduler scheduler,
            EntryPolicy policy,
            SubmissionRegistry registry,
            AttemptTracker attempts,
            List<EntryMachineCommand> commands) {
        this.scheduler = scheduler;
        this.policy = policy;
        this.registry = registry;
        this.attempts = attempts;
        this.commands = commands;
    }

    /** Requests the claim of an admitted submission, or starts its tasks if it needs no claim. */
    void claimOrStart(SubmissionProgress progress, Instant now) {
        if (progress.submission().needsClaim()) {
            requestClaim(progress);
        } else {
            startTasks(progress, /* fence= */ 0, now);
        }
    }

    void onClaimSettled(EntryEvent.ClaimSettled settled, Instant now) {
        SubmissionProgress progress = registry.find(settled.submission());
        if (progress == null || progress.phase() != SubmissionProgress.Phase.CLAIMING) {
            return;
        }
        switch (settled.result()) {
            case ClaimResult.Granted(long fence, long request) -> {
                // A claim that an earlier request of this process wrote is reusable if no task has started under it.
                // Otherwise the submission may have run and been answered, and the answer is no longer cached.
                boolean isWrittenByThisRequest = request == progress.claimRequest();
                if (isWrittenByThisRequest || registry.reusableClaims().isReusable(progress.submission(), request)) {
                    progress.setClaimRequest(request);
                    progress.recordNoEarlierStart();
                    startTasks(progress, fence, now);
                } else {
                    failPossiblyStarted(progress, FailureReason.ANSWER_EXPIRED, "the answer is no longer kept", now);
                }
            }
            case ClaimResult.HeldByOther held -> {
                if (held.digest().equals(progress.submission().digest())) {
                    progress.markRelayed(held);
                    commands.add(new EntryMachineCommand.RelayToOwner(
                            progress.submission(), held.owner(), held.ownerAddress()));
                } else {
                    scheduler.releaseReservation(progress.submission());
                    registry.answer(progress, FailedAnswers.digestConflict(), now);
                }
            }
            case ClaimResult.Unavailable(String detail) -> {
                scheduler.releaseReservation(progress.submission());
                // The claim can still be written later, but no task has started under it.
                registry.reusableClaims().add(progress.submission(), progress.claimRequest(), /* highestAttempt= */ 0);
                registry.answer(
                        progress,
                        registry.createRefusal(FailureReason.STORE_UNAVAILABLE, progress.execution(), detail),
                        now);
            }
        }
    }

    void onRelaySettled(EntryEvent.RelaySettled settled, Instant now) {
        SubmissionProgress progress = registry.find(settled.submission());
        if (progress == null || progress.phase() != SubmissionProgress.Phase.RELAYED) {
            return;
        }
        switch (settled.result()) {
            case RelayResult.Answered(Answer answer) -> {
                scheduler.releaseReservation(progress.submission());
                registry.answer(progress, answer, now);
            }
            case RelayResult.OwnerUnreachable(String detail) -> {
                Duration age = Duration.between(progress.claimOfOtherEntry().claimedAt(), now);
                // A submission that another entry adopted from this one is not adopted back.
                if (progress.isAdoptedByOther() || age.compareTo(policy.maximumAdoptableClaimAge()) > 0) {
                    failPossiblyStarted(progress, FailureReason.OWNER_LOST, detail, now);
                } else {
                    progress.markAdopting();
                    progress.setClaimRequest(++lastClaimRequest);
                    commands.add(new EntryMachineCommand.AdoptClaim(
                            progress.submission(), progress.claimOfOtherEntry(), progress.claimRequest()));
                }
            }
        }
    }

    void onAdoptionSettled(EntryEvent.AdoptionSettled settled, Instant now) {
        SubmissionProgress progress = registry.find(settled.submission());
        if (progress == null || progress.phase() != SubmissionProgress.Phase.ADOPTING) {
            return;
        }
        switch (settled.result()) {
            case AdoptionResult.Failed(String detail) ->
                failPossiblyStarted(progress, FailureReason.OWNER_LOST, detail, now);
            case AdoptionResult.Adopted adopted -> {
                SubmissionAdoption adoption = new SubmissionAdoption(adopted, now.plus(policy.adoptionTimeout()));
                adoptions.put(progress.id(), adoption);
                adopted.sidecars()
                        .forEach(sidecar -> commands.add(
                                new EntryMachineCommand.SendFence(sidecar, progress.id(), adopted.fence())));
                finishAdoptionIfReady(progress, adoption, now);
            }
        }
    }

    void onSubmissionFenced(EntryEvent.SubmissionFenced fenced, Instant now) {
        SubmissionAdoption adoption = adoptions.get(fenced.submission());
        SubmissionProgress progress = registry.find(fenced.submission());
        if (adoption == null || progress == null) {
            return;
        }
        adoption.addFenceReply(fenced);
        finishAdoptionIfReady(progress, adoption, now);
    }

    void onTick(Instant now) {
        for (SubmissionId submission : List.copyOf(adoptions.keySet())) {
            SubmissionProgress progress = registry.find(submission);
            if (progress == null || progress.phase() != SubmissionProgress.Phase.ADOPTING) {
                adoptions.remove(submission);
            } else {
                finishAdoptionIfReady(progress, adoptions.get(submission), now);
            }
        }
    }

    /**
     * Handles that another entry has adopted a submission of this entry: requests its claim again. The reply names the
     * other entry as the holder, and the submission is then relayed there.
     */
    void onAdoptedByOther(SubmissionProgress progress, Instant now) {
        scheduler.removeWaitingTasks(progress.id());
        attempts.dropOutstandingAttempts(progress, now);
        progress.returnToClaiming();
        switch (scheduler.admit(progress.submission(), now)) {
            case AdmissionDecision.Admitted ignored -> requestClaim(progress);
            case AdmissionDecision.Refused refused ->
                registry.answer(progress, createMayHaveRunAnswer(refused.detail()), now);
        }
    }

    private void requestClaim(SubmissionProgress progress) {
        progress.setClaimRequest(++lastClaimRequest);
        registry.reusableClaims().addRequestIfRecorded(progress.submission(), progress.claimRequest());
        commands.add(new EntryMachineCommand.RequestClaim(progress.submission(), progress.claimRequest()));
    }

    private void startTasks(SubmissionProgress progress, long fence, Instant now) {
        progress.markRunning(fence, registry.reusableClaims().highestAttempt(progress.id()), /* claimed= */ now, now);
        registry.reusableClaims().remove(progress.id());
        scheduler.enqueue(progress.submission(), progress.submission().tasks(), now);
    }

    /**
     * Finishes an adoption once every sidecar has replied or the time-out has passed. Tasks that no sidecar reported
     * are enqueued here if every sidecar has replied; otherwise they may have started, and the submission fails.
     */
    private void finishAdoptionIfReady(SubmissionProgress progress, SubmissionAdoption adoption, Instant now) {
        if (!adoption.isReadyToFinish(now)) {
            return;
        }
        adoptions.remove(progress.id());
        scheduler.releaseReservation(progress.submission());
        progress.markRunning(adoption.fence(), /* highestEarlierAttempt= */ 0, adoption.claimedAt(), now);
        List<AttemptTracker.SubmissionEffect> effects = attempts.adoptAttempts(progress, adoption.reportsByTask(), now);
        List<TaskSpec> missing = progress.tasks().stream()
                .filter(task -> task.stage() == TaskProgress.Stage.WAITING)
                .map(TaskProgress::spec)
                .toList();
        for (AttemptTracker.SubmissionEffect effect : effects) {
            if (effect instanceof AttemptTracker.SubmissionEffect.TaskFailed failure) {
                registry.abandon(progress, FailureReason.TASK_FAILED, failure.detail(), now);
                return;
            }
        }
        if (progress.isComplete()) {
            registry.answer(progress, progress.assembleAnswer(), now);
        } else if (!missing.isEmpty() && !adoption.awaitedSidecars().isEmpty()) {
            progress.markPossiblyStarted();
            registry.abandon(progress, FailureReason.OWNER_LOST, "no reply from " + adoption.awaitedSidecars(), now);
        } else if (!missing.isEmpty()) {
            enqueueMissingTasks(progress, missing, now);
        }
    }

    /** Enqueues the tasks that no sidecar has started, if the scheduler admits a submission of only these tasks. */
    private void enqueueMissingTasks(SubmissionProgress progress, List<TaskSpec> missing, Instant now) {
        Submission submission = progress.submission();
        Submission remainder = new Submission(
                submission.id(),
                submission.kind(),
                submission.urgency(),
                submission.repeatability(),
                submission.deadline(),
                submission.digest(),
                missing);
        switch (scheduler.admit(remainder, now)) {
            case AdmissionDecision.Admitted ignored -> scheduler.enqueue(remainder, missing, now);
            case AdmissionDecision.Refused refused -> {
                // Never answered as "not run", like every adoption that can't be completed.
                progress.markPossiblyStarted();
                registry.abandon(progress, FailureReason.OWNER_LOST, refused.detail(), now);
            }
        }
    }

    /** Fails a submission whose tasks are not run here, because they may have started at another entry or earlier. */
    private void failPossiblyStarted(SubmissionProgress progress, FailureReason reason, String detail, Instant now) {
        progress.markPossiblyStarted();
        scheduler.releaseReservation(progress.submission());
        registry.answer(progress, FailedAnswers.of(reason, progress.execution(), detail), now);
    }

    /** Returns the answer to a submission that another entry adopted, and that the scheduler does not admit again. */
    private static Answer.Failed createMayHaveRunAnswer(String detail) {
        return FailedAnswers.of(FailureReason.OWNER_LOST, Execution.MAY_HAVE_RUN, detail);
    }
}
