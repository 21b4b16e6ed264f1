package io.caperturn.core.entry;

import io.caperturn.core.model.Answer;
import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.SubmissionId;
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
 * Registry of all submissions of an entry; the only class that sends their answers.
 *
 * <p>Confined to the thread of the {@link EntryMachine}.
 */
final class SubmissionRegistry {
    private final Scheduler scheduler;
    private final EntryPolicy policy;
    private final List<EntryMachineCommand> commands;
    private final Map<SubmissionId, SubmissionProgress> submissions = new HashMap<>();
    private final DeadlineQueue deadlines = new DeadlineQueue();
    private final AnswerCache answers;
    private final UnstartedClaims unstartedClaims = new UnstartedClaims();
    private int openCount;

    SubmissionRegistry(Scheduler scheduler, EntryPolicy policy, List<EntryMachineCommand> commands) {
        this.scheduler = scheduler;
        this.policy = policy;
        this.commands = commands;
        this.answers = new AnswerCache(policy.answerRetention(), policy.maximumAnswerBytes());
    }

    SubmissionProgress find(SubmissionId submission) {
        return submissions.get(submission);
    }

    Map<SubmissionId, SubmissionProgress> submissions() {
        return submissions;
    }

    Optional<AnswerCache.CachedAnswer> findAnswer(SubmissionId submission) {
        return answers.find(submission);
    }

    UnstartedClaims unstartedClaims() {
        return unstartedClaims;
    }

    int openCount() {
        return openCount;
    }

    void add(SubmissionProgress progress) {
        submissions.put(progress.id(), progress);
        deadlines.add(progress.submission());
        openCount++;
        commands.add(new EntryMachineCommand.Publish(new EntryOccurrence.Admitted(
                progress.id(),
                progress.submission().kind(),
                progress.urgency(),
                progress.submission().tasks().size())));
    }

    /** Fails the submissions whose deadline has passed and evicts expired answers. */
    void expire(Instant now) {
        for (SubmissionId due : deadlines.pollDue(now)) {
            SubmissionProgress progress = submissions.get(due);
            if (progress != null && !progress.isAnswered() && progress.isPastDeadline(now)) {
                abandon(progress, FailureReason.DEADLINE, "the deadline passed", now);
            }
        }
        answers.evict(now);
    }

    /** Fails a submission before it is complete: removes its waiting tasks and cancels its outstanding attempts. */
    void abandon(SubmissionProgress progress, FailureReason reason, String detail, Instant now) {
        switch (progress.phase()) {
            case CLAIMING -> {
                scheduler.releaseReservation(progress.submission());
                unstartedClaims.add(progress.submission(), progress.claimRequest(), 0);
            }
            case RELAYED, ADOPTING -> {
                scheduler.releaseReservation(progress.submission());
                progress.markPossiblyStarted();
            }
            case RUNNING -> {
                scheduler.removeWaitingTasks(progress.id());
                cancelOutstanding(progress);
            }
            case ANSWERED -> {
                return;
            }
        }
        finish(progress, FailedAnswers.of(reason, progress.execution(), detail), now);
    }

    /** Answers a submission; the answer is kept for resubmissions if tasks ran here under a claim. */
    void finish(SubmissionProgress progress, Answer answer, Instant now) {
        boolean ranHere = progress.phase() == SubmissionProgress.Phase.RUNNING
                && progress.submission().needsClaim();
        progress.markAnswered();
        openCount--;
        Optional<FailureReason> failure = Optional.empty();
        Execution execution = Execution.RAN;
        if (answer instanceof Answer.Failed failed) {
            failure = Optional.of(failed.reason());
            execution = failed.execution();
        }
        if (ranHere && execution == Execution.NOT_RUN) {
            unstartedClaims.add(progress.submission(), progress.claimRequest(), progress.highestAttempt());
        } else if (ranHere) {
            answers.put(progress.id(), progress.submission().digest(), answer, now);
        }
        sendAnswer(progress.id(), progress.removeAllWaiters(), answer);
        commands.add(new EntryMachineCommand.Publish(new EntryOccurrence.Answered(
                progress.id(),
                progress.submission().kind(),
                progress.urgency(),
                failure,
                execution,
                Duration.between(progress.arrivedAt(), now))));
        removeIfFinished(progress);
    }

    void sendAnswer(SubmissionId submission, List<Long> waiters, Answer answer) {
        if (!waiters.isEmpty()) {
            commands.add(new EntryMachineCommand.SendAnswer(submission, waiters, answer));
        }
    }

    /** Removes a submission that was answered and has no outstanding attempts. */
    void removeIfFinished(SubmissionProgress progress) {
        if (progress.isAnswered() && !progress.hasOutstanding()) {
            submissions.remove(progress.id(), progress);
        }
    }

    /** Returns a refusal with the default retry-after time. */
    Answer.Failed createRefusal(FailureReason reason, Execution execution, String detail) {
        return new Answer.Failed(reason, execution, detail, Optional.of(policy.retryAfter()));
    }

    private void cancelOutstanding(SubmissionProgress progress) {
        Map<ProcessId, List<AttemptId>> cancels = new LinkedHashMap<>();
        progress.tasks().stream()
                .filter(TaskProgress::isOutstanding)
                .forEach(task -> cancels.computeIfAbsent(task.sidecar(), ignored -> new ArrayList<>())
                        .add(task.currentAttempt()));
        cancels.forEach((sidecar, attempts) -> commands.add(new EntryMachineCommand.SendCancels(sidecar, attempts)));
    }
}
