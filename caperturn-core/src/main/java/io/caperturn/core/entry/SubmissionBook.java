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
 * All submissions of an entry, and the one place where they get their answers.
 *
 * <p>Confined to the thread of the {@link EntryMachine}.
 */
final class SubmissionBook {
    private final Scheduler scheduler;
    private final EntryPolicy policy;
    private final List<EntryMachineCommand> commands;
    private final Map<SubmissionId, Work> works = new HashMap<>();
    private final DeadlineQueue deadlines = new DeadlineQueue();
    private final AnswerCache answers;
    private final NeverStartedClaims neverStarted = new NeverStartedClaims();
    private int open;

    SubmissionBook(Scheduler scheduler, EntryPolicy policy, List<EntryMachineCommand> commands) {
        this.scheduler = scheduler;
        this.policy = policy;
        this.commands = commands;
        this.answers = new AnswerCache(policy.answerRetention(), policy.maximumAnswerBytes());
    }

    Work find(SubmissionId submission) {
        return works.get(submission);
    }

    Map<SubmissionId, Work> works() {
        return works;
    }

    Optional<AnswerCache.Kept> findAnswer(SubmissionId submission) {
        return answers.find(submission);
    }

    NeverStartedClaims neverStarted() {
        return neverStarted;
    }

    int open() {
        return open;
    }

    void add(Work work) {
        works.put(work.id(), work);
        deadlines.add(work.submission());
        open++;
        commands.add(new EntryMachineCommand.Publish(new EntryOccurrence.Admitted(
                work.id(),
                work.submission().kind(),
                work.urgency(),
                work.submission().tasks().size())));
    }

    /** Fails the submissions whose deadline passed, and drops answers that were kept long enough. */
    void expire(Instant now) {
        for (SubmissionId due : deadlines.pollDue(now)) {
            Work work = works.get(due);
            if (work != null && !work.isAnswered() && work.isPastDeadline(now)) {
                abandon(work, FailureReason.DEADLINE, "the deadline passed", now);
            }
        }
        answers.evict(now);
    }

    /** Ends a submission before it is complete; queued tasks are dropped, outstanding ones cancelled. */
    void abandon(Work work, FailureReason reason, String detail, Instant now) {
        switch (work.phase()) {
            case CLAIMING -> {
                scheduler.releaseReservation(work.submission());
                neverStarted.add(work.submission(), work.claimRequest(), 0);
            }
            case RELAYED, ADOPTING -> {
                scheduler.releaseReservation(work.submission());
                work.startIsPossible();
            }
            case RUNNING -> {
                scheduler.removeWaitingTasks(work.id());
                cancelOutstanding(work);
            }
            case ANSWERED -> {
                return;
            }
        }
        finish(work, Failures.of(reason, work.execution(), detail), now);
    }

    /** Gives a submission its answer. */
    void finish(Work work, Answer answer, Instant now) {
        boolean ranHere =
                work.phase() == Work.Phase.RUNNING && work.submission().needsClaim();
        work.answered();
        open--;
        Optional<FailureReason> failure = Optional.empty();
        Execution execution = Execution.RAN;
        if (answer instanceof Answer.Failed failed) {
            failure = Optional.of(failed.reason());
            execution = failed.execution();
        }
        if (ranHere && execution == Execution.NOT_RUN) {
            neverStarted.add(work.submission(), work.claimRequest(), work.highestAttempt());
        } else if (ranHere) {
            answers.keep(work.id(), work.submission().digest(), answer, now);
        }
        give(work.id(), work.takeWaiters(), answer);
        commands.add(new EntryMachineCommand.Publish(new EntryOccurrence.Answered(
                work.id(),
                work.submission().kind(),
                work.urgency(),
                failure,
                execution,
                Duration.between(work.arrivedAt(), now))));
        forgetIfSettled(work);
    }

    void give(SubmissionId submission, List<Long> waiters, Answer answer) {
        if (!waiters.isEmpty()) {
            commands.add(new EntryMachineCommand.SendAnswer(submission, waiters, answer));
        }
    }

    void forgetIfSettled(Work work) {
        if (work.isAnswered() && !work.hasOutstanding()) {
            works.remove(work.id(), work);
        }
    }

    /** Makes a refusal that says when to come back. */
    Answer.Failed refusal(FailureReason reason, Execution execution, String detail) {
        return new Answer.Failed(reason, execution, detail, Optional.of(policy.retryAfter()));
    }

    private void cancelOutstanding(Work work) {
        Map<ProcessId, List<AttemptId>> cancels = new LinkedHashMap<>();
        work.tasks().stream()
                .filter(TaskProgress::isOutstanding)
                .forEach(task -> cancels.computeIfAbsent(task.sidecar(), ignored -> new ArrayList<>())
                        .add(task.current()));
        cancels.forEach((sidecar, attempts) -> commands.add(new EntryMachineCommand.SendCancels(sidecar, attempts)));
    }
}
