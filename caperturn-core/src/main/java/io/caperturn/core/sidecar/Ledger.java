package io.caperturn.core.sidecar;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskKey;
import io.caperturn.core.model.TaskOutcome;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Record of the attempts to run tasks that this sidecar process accepted or finally refused. It prevents a task from
 * starting twice.
 *
 * <p>A claim is an entry process's exclusive right to run a submission; the attempts under it carry its fencing token.
 * A task under a claim has one line in the ledger; a task of an idempotent submission, which needs no claim, has one
 * line for each attempt, with a fencing token of 0. A submission that another entry adopted also has a fence: the
 * lowest fencing token with which attempts are still accepted.
 *
 * <p>Lines of finished attempts and fences are evicted when they are older than the retention of the ledger. A later
 * dispatch to which they would have applied is refused because of the age of its claim, which then exceeds the
 * retention. Confined to the thread of the {@link SidecarMachine}.
 */
final class Ledger {
    private static final String RESULT_DROPPED_DETAIL = "result no longer kept";
    private static final int INITIAL_TASK_CAPACITY = 2;

    private final SidecarPolicy policy;
    private final Map<SubmissionId, SubmissionLines> linesUnderClaim = new HashMap<>();
    private final Map<AttemptId, LedgerLine> idempotentLines = new HashMap<>();
    private final Map<SubmissionId, Fence> fences = new LinkedHashMap<>();
    private final Deque<LedgerLine> finishedLines = new ArrayDeque<>();
    private final Deque<LedgerLine> linesWithResults = new ArrayDeque<>();
    private int lineCount;
    private long resultBytes;

    Ledger(SidecarPolicy policy) {
        this.policy = policy;
    }

    /**
     * Returns the line of an attempt; null if there is none. Under a claim, this is the line of the attempt's task,
     * which can be of another attempt.
     */
    LedgerLine find(AttemptId attempt) {
        if (attempt.fence() == 0) {
            return idempotentLines.get(attempt);
        }
        SubmissionLines submissionLines = linesUnderClaim.get(attempt.key().submission());
        return submissionLines == null
                ? null
                : submissionLines.linesByTask().get(attempt.key().task());
    }

    /** Returns the lines of a submission under a claim; empty if there are none. */
    Collection<LedgerLine> linesOf(SubmissionId submission) {
        SubmissionLines submissionLines = linesUnderClaim.get(submission);
        return submissionLines == null
                ? List.of()
                : List.copyOf(submissionLines.linesByTask().values());
    }

    /** Returns a report for each line of a submission under a claim. */
    List<AttemptReport> reportsOf(SubmissionId submission) {
        return linesOf(submission).stream().map(LedgerLine::toReport).toList();
    }

    /** Writes a line for an attempt, in place of the line that {@link #find} returns, if any. */
    LedgerLine write(AttemptId attempt, AttemptState state, Instant now) {
        LedgerLine earlier = find(attempt);
        LedgerLine line =
                attempt.fence() == 0 ? new LedgerLine(attempt, state, now) : writeUnderClaim(attempt, state, now);
        if (attempt.fence() == 0) {
            idempotentLines.put(attempt, line);
        }
        if (earlier == null) {
            lineCount++;
        }
        if (line.isFinished()) {
            finishedLines.add(line);
        }
        return line;
    }

    /**
     * Writes a line for an attempt under a claim; all lines of a submission share one {@link SubmissionId} object to
     * save memory.
     */
    private LedgerLine writeUnderClaim(AttemptId attempt, AttemptState state, Instant now) {
        SubmissionLines submissionLines = linesUnderClaim.computeIfAbsent(
                attempt.key().submission(), id -> new SubmissionLines(id, new LinkedHashMap<>(INITIAL_TASK_CAPACITY)));
        String task = attempt.key().task();
        AttemptId attemptWithSharedId =
                new AttemptId(new TaskKey(submissionLines.submission(), task), attempt.fence(), attempt.attempt());
        LedgerLine line = new LedgerLine(attemptWithSharedId, state, now);
        submissionLines.linesByTask().put(task, line);
        return line;
    }

    /** Changes the state of a line and returns the subscribers to notify. */
    List<LedgerLine.Subscriber> changeState(LedgerLine line, AttemptState state, Instant now) {
        List<LedgerLine.Subscriber> subscribers = line.changeState(state, now);
        if (line.isFinished()) {
            finishedLines.add(line);
        }
        if (state instanceof AttemptState.Done(TaskOutcome.Completed completed)) {
            linesWithResults.add(line);
            resultBytes += resultBytesOf(completed);
            dropOldestResults();
        }
        return subscribers;
    }

    /** Returns the lowest fencing token with which attempts of a submission are accepted; 0 if it has no fence. */
    long fenceInForce(SubmissionId submission) {
        Fence fence = fences.get(submission);
        return fence == null ? 0 : fence.token();
    }

    /**
     * Raises the fence of a submission to a fencing token, unless the fence is higher already, and returns the fence
     * then in force.
     */
    long raiseFence(SubmissionId submission, long token, Instant now) {
        long inForce = Math.max(fenceInForce(submission), token);
        fences.remove(submission);
        fences.put(submission, new Fence(inForce, now));
        return inForce;
    }

    /** Returns whether the ledger has room for the line of an accepted attempt. */
    boolean hasRoomForWork() {
        return lineAndFenceCount() < policy.maximumLedgerLines();
    }

    /**
     * Returns whether the ledger has room for the line of a refused attempt. Refusals fill at most half of the ledger;
     * the rest is reserved for accepted attempts.
     */
    boolean hasRoomForRefusal() {
        return lineAndFenceCount() < policy.maximumLedgerLines() / 2;
    }

    /** Returns the number of lines and fences. */
    int lineAndFenceCount() {
        return lineCount + fences.size();
    }

    /** Returns the total size of the results in the ledger, as UTF-8, in bytes. */
    long resultBytes() {
        return resultBytes;
    }

    /** Evicts the lines of finished attempts and the fences that are older than the retention of the ledger. */
    void evict(Instant now) {
        Instant oldestKept = now.minus(policy.ledgerRetention());
        while (!finishedLines.isEmpty() && finishedLines.getFirst().changedAt().isBefore(oldestKept)) {
            LedgerLine line = finishedLines.removeFirst();
            if (find(line.attempt()) == line) {
                remove(line);
            }
        }
        fences.values().removeIf(fence -> fence.setAt().isBefore(oldestKept));
    }

    private void remove(LedgerLine line) {
        AttemptId attempt = line.attempt();
        lineCount--;
        if (line.state() instanceof AttemptState.Done(TaskOutcome.Completed completed)) {
            linesWithResults.removeFirstOccurrence(line);
            resultBytes -= resultBytesOf(completed);
        }
        if (attempt.fence() == 0) {
            idempotentLines.remove(attempt);
            return;
        }
        SubmissionLines submissionLines = linesUnderClaim.get(attempt.key().submission());
        submissionLines.linesByTask().remove(attempt.key().task());
        if (submissionLines.linesByTask().isEmpty()) {
            linesUnderClaim.remove(attempt.key().submission());
        }
    }

    /** Replaces the oldest results by failures until the results are within their maximum size. */
    private void dropOldestResults() {
        while (resultBytes > policy.maximumResultBytes() && !linesWithResults.isEmpty()) {
            LedgerLine line = linesWithResults.removeFirst();
            if (line.state() instanceof AttemptState.Done(TaskOutcome.Completed completed)) {
                resultBytes -= resultBytesOf(completed);
                Duration serviceTime = completed.serviceTime();
                line.changeState(
                        new AttemptState.Done(
                                new TaskOutcome.Failed(Execution.RAN, RESULT_DROPPED_DETAIL, serviceTime)),
                        line.changedAt());
            }
        }
    }

    private static long resultBytesOf(TaskOutcome.Completed completed) {
        return completed.result().getBytes(StandardCharsets.UTF_8).length;
    }

    /**
     * Lines of one submission under a claim.
     *
     * @param submission the submission
     * @param linesByTask its lines, by task id
     */
    private record SubmissionLines(SubmissionId submission, Map<String, LedgerLine> linesByTask) {}

    /**
     * Fence of a submission.
     *
     * @param token the lowest fencing token with which attempts are accepted
     * @param setAt the time at which an adopting entry last sent a fence
     */
    private record Fence(long token, Instant setAt) {}
}
