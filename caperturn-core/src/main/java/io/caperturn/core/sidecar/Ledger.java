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
 * Ledger of all attempts that this sidecar accepted, finally refused or fenced (prevented from starting).
 *
 * <p>A task under a claim (an entry's exclusive right to run a submission) has one line; idempotent requests have one
 * line for each attempt. A submission that was adopted by another entry also has a fence, the lowest fencing token that
 * may still start work. The line of a finished attempt and the fence of a submission are evicted only when they are
 * older than the ledger's reach; from then on, every dispatch that they would have refused is refused because its claim
 * is too old. Confined to the thread of the {@link SidecarMachine}.
 */
final class Ledger {
    private static final String RESULT_DROPPED_DETAIL = "result no longer kept";
    private static final int INITIAL_TASK_CAPACITY = 2;

    private final SidecarPolicy policy;
    private final Map<SubmissionId, SubmissionLines> claimedLines = new HashMap<>();
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
     * Returns the line of an attempt's task under a claim, or of the attempt itself if it is idempotent; null if there
     * is none.
     */
    LedgerLine find(AttemptId attempt) {
        if (attempt.fence() == 0) {
            return idempotentLines.get(attempt);
        }
        SubmissionLines submissionLines = claimedLines.get(attempt.key().submission());
        return submissionLines == null
                ? null
                : submissionLines.lines().get(attempt.key().task());
    }

    /** Returns the lines of a submission that has a claim. */
    Collection<LedgerLine> linesOf(SubmissionId submission) {
        SubmissionLines submissionLines = claimedLines.get(submission);
        return submissionLines == null
                ? List.of()
                : List.copyOf(submissionLines.lines().values());
    }

    /** Returns a report for each line of a submission that has a claim. */
    List<AttemptReport> reportsOf(SubmissionId submission) {
        return linesOf(submission).stream().map(LedgerLine::report).toList();
    }

    /** Writes a line for an attempt, in place of the line that {@link #find} returns, if any. */
    LedgerLine write(AttemptId attempt, AttemptState state, Instant now) {
        LedgerLine earlier = find(attempt);
        LedgerLine line =
                attempt.fence() == 0 ? new LedgerLine(attempt, state, now) : writeClaimed(attempt, state, now);
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
     * Writes a line of work under a claim; all lines of a submission share one {@link SubmissionId} object to save
     * memory.
     */
    private LedgerLine writeClaimed(AttemptId attempt, AttemptState state, Instant now) {
        SubmissionLines submissionLines = claimedLines.computeIfAbsent(
                attempt.key().submission(), id -> new SubmissionLines(id, new LinkedHashMap<>(INITIAL_TASK_CAPACITY)));
        String task = attempt.key().task();
        AttemptId shared =
                new AttemptId(new TaskKey(submissionLines.submission(), task), attempt.fence(), attempt.attempt());
        LedgerLine line = new LedgerLine(shared, state, now);
        submissionLines.lines().put(task, line);
        return line;
    }

    /** Changes the state of a line and returns the subscribers to notify. */
    List<LedgerLine.Subscriber> change(LedgerLine line, AttemptState state, Instant now) {
        List<LedgerLine.Subscriber> subscribers = line.change(state, now);
        if (line.isFinished()) {
            finishedLines.add(line);
        }
        if (state instanceof AttemptState.Done(TaskOutcome.Completed completed)) {
            linesWithResults.add(line);
            resultBytes += resultSize(completed);
            dropOldestResults();
        }
        return subscribers;
    }

    /** Returns the fencing token in force for a submission, 0 if none was set at this sidecar. */
    long highestFence(SubmissionId submission) {
        Fence fence = fences.get(submission);
        return fence == null ? 0 : fence.token();
    }

    /** Raises the fence of a submission to a token; a higher fence stays. Returns the fencing token then in force. */
    long raiseFence(SubmissionId submission, long token, Instant now) {
        long inForce = Math.max(highestFence(submission), token);
        fences.remove(submission);
        fences.put(submission, new Fence(inForce, now));
        return inForce;
    }

    /** Returns whether a line may be written for new work. */
    boolean hasRoom() {
        return size() < policy.maximumLines();
    }

    /**
     * Returns whether a line may be written for a refusal; refusals may fill only half of the ledger, the rest is
     * reserved for accepted work.
     */
    boolean hasRoomForRefusal() {
        return size() < policy.maximumLines() / 2;
    }

    /** Returns the number of lines and fences. */
    int size() {
        return lineCount + fences.size();
    }

    long resultBytes() {
        return resultBytes;
    }

    /** Evicts lines of finished attempts and fences that are older than the ledger's reach. */
    void evict(Instant now) {
        Instant oldestKept = now.minus(policy.ledgerReach());
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
            resultBytes -= resultSize(completed);
        }
        if (attempt.fence() == 0) {
            idempotentLines.remove(attempt);
            return;
        }
        SubmissionLines submissionLines = claimedLines.get(attempt.key().submission());
        submissionLines.lines().remove(attempt.key().task());
        if (submissionLines.lines().isEmpty()) {
            claimedLines.remove(attempt.key().submission());
        }
    }

    /** Replaces the oldest results by failures while the results exceed their maximum size. */
    private void dropOldestResults() {
        while (resultBytes > policy.maximumResultBytes() && !linesWithResults.isEmpty()) {
            LedgerLine line = linesWithResults.removeFirst();
            if (line.state() instanceof AttemptState.Done(TaskOutcome.Completed completed)) {
                resultBytes -= resultSize(completed);
                Duration serviceTime = completed.serviceTime();
                line.change(
                        new AttemptState.Done(
                                new TaskOutcome.Failed(Execution.RAN, RESULT_DROPPED_DETAIL, serviceTime)),
                        line.changedAt());
            }
        }
    }

    private static long resultSize(TaskOutcome.Completed completed) {
        return completed.result().getBytes(StandardCharsets.UTF_8).length;
    }

    /**
     * Lines of one submission.
     *
     * @param submission the submission
     * @param lines its lines, by task
     */
    private record SubmissionLines(SubmissionId submission, Map<String, LedgerLine> lines) {}

    /**
     * Fence of a submission.
     *
     * @param token the lowest fencing token that may still start work
     * @param setAt the time at which an adopter last set it
     */
    private record Fence(long token, Instant setAt) {}
}
