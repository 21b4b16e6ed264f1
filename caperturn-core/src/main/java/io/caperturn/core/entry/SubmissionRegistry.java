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
 * Registry of the submissions of an entry, and the only class that sends their answers.
 *
 * <p>A claim is the durable record that makes one entry (a process that accepts submissions) the owner of a submission.
 * Only the tasks of idempotent submissions start without a claim. The scheduler reserves queue capacity for a
 * submission until its tasks are enqueued. Confined to the thread of the {@link EntryMachine}.
 */
final class SubmissionRegistry {
    private final Scheduler scheduler;
    private final EntryPolicy policy;
    private final List<EntryMachineCommand> commands;
    private final Map<SubmissionId, SubmissionProgress> submissions = new HashMap<>();
    private final DeadlineQueue deadlines = new DeadlineQueue();
    private final AnswerCache answerCache;
    private final ReusableClaims reusableClaims = new ReusableClaims();
    private int unansweredCount;

    SubmissionRegistry(Scheduler scheduler, EntryPolicy policy, List<EntryMachineCommand> commands) {
        this.scheduler = scheduler;
        this.policy = policy;
        this.commands = commands;
        this.answerCache = new AnswerCache(policy.answerRetention(), policy.maximumAnswerBytes());
    }

    SubmissionProgress find(SubmissionId submission) {
        return submissions.get(submission);
    }

    Map<SubmissionId, SubmissionProgress> submissions() {
        return submissions;
    }

    Optional<AnswerCache.CachedAnswer> findCachedAnswer(SubmissionId submission) {
        return answerCache.find(submission);
    }

    /** Returns the claims under which no task started, so that a resubmission can run under them. */
    ReusableClaims reusableClaims() {
        return reusableClaims;
    }

    int unansweredCount() {
        return unansweredCount;
    }

    void add(SubmissionProgress progress) {
        submissions.put(progress.id(), progress);
        deadlines.add(progress.submission());
        unansweredCount++;
        commands.add(new EntryMachineCommand.Publish(new SubmissionLifecycleEvent.Admitted(
                progress.id(),
                progress.submission().kind(),
                progress.urgency(),
                progress.submission().tasks().size())));
    }

    /** Fails the submissions whose deadline has passed, and evicts expired answers from the cache. */
    void expireSubmissionsAndAnswers(Instant now) {
        for (SubmissionId due : deadlines.pollDue(now)) {
            SubmissionProgress progress = submissions.get(due);
            if (progress != null && !progress.isAnswered() && progress.isPastDeadline(now)) {
                abandon(progress, FailureReason.DEADLINE, "the deadline passed", now);
            }
        }
        answerCache.evict(now);
    }

    /** Fails a submission: removes its waiting tasks, cancels its outstanding attempts and sends the answer. */
    void abandon(SubmissionProgress progress, FailureReason reason, String detail, Instant now) {
        switch (progress.phase()) {
            case CLAIMING -> {
                scheduler.releaseReservation(progress.submission());
                reusableClaims.add(progress.submission(), progress.claimRequest(), /* highestAttempt= */ 0);
            }
            case RELAYED, ADOPTING -> {
                scheduler.releaseReservation(progress.submission());
                progress.markPossiblyStarted();
            }
            case RUNNING -> {
                scheduler.removeWaitingTasks(progress.id());
                cancelOutstandingAttempts(progress);
            }
            case ANSWERED -> {
                return;
            }
        }
        answer(progress, FailedAnswers.of(reason, progress.execution(), detail), now);
    }

    /** Sends the answer of a submission, and caches it for resubmissions if tasks ran here under a claim. */
    void answer(SubmissionProgress progress, Answer answer, Instant now) {
        boolean ranHereUnderClaim = progress.phase() == SubmissionProgress.Phase.RUNNING
                && progress.submission().needsClaim();
        progress.markAnswered();
        unansweredCount--;
        Optional<FailureReason> failure = Optional.empty();
        Execution execution = Execution.RAN;
        if (answer instanceof Answer.Failed failed) {
            failure = Optional.of(failed.reason());
            execution = failed.execution();
        }
        if (ranHereUnderClaim && execution == Execution.NOT_RUN) {
            reusableClaims.add(progress.submission(), progress.claimRequest(), progress.highestAttempt());
        } else if (ranHereUnderClaim) {
            answerCache.put(progress.id(), progress.submission().digest(), answer, now);
        }
        sendAnswer(progress.id(), progress.removeAllWaiters(), answer);
        commands.add(new EntryMachineCommand.Publish(new SubmissionLifecycleEvent.Answered(
                progress.id(),
                progress.submission().kind(),
                progress.urgency(),
                failure,
                execution,
                Duration.between(progress.arrivedAt(), now))));
        removeIfNoLongerNeeded(progress);
    }

    void sendAnswer(SubmissionId submission, List<Long> waiters, Answer answer) {
        if (!waiters.isEmpty()) {
            commands.add(new EntryMachineCommand.SendAnswer(submission, waiters, answer));
        }
    }

    /** Removes a submission if it was answered and has no outstanding attempts. */
    void removeIfNoLongerNeeded(SubmissionProgress progress) {
        if (progress.isAnswered() && !progress.hasOutstandingAttempts()) {
            submissions.remove(progress.id(), progress);
        }
    }

    /** Returns a refusal with the default retry-after time. */
    Answer.Failed createRefusal(FailureReason reason, Execution execution, String detail) {
        return new Answer.Failed(reason, execution, detail, Optional.of(policy.defaultRetryAfter()));
    }

    private void cancelOutstandingAttempts(SubmissionProgress progress) {
        Map<ProcessId, List<AttemptId>> cancels = new LinkedHashMap<>();
        progress.tasks().stream()
                .filter(TaskProgress::isOutstanding)
                .forEach(task -> cancels.computeIfAbsent(task.sidecar(), ignored -> new ArrayList<>())
                        .add(task.currentAttempt()));
        cancels.forEach((sidecar, attempts) -> commands.add(new EntryMachineCommand.SendCancels(sidecar, attempts)));
    }
}
