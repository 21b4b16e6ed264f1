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
 * Ledger of all attempts that this sidecar accepted, refused for good or fenced.
 *
 * <p>Work under a claim has one line for each task; idempotent requests have one line for each attempt. The line of a
 * finished attempt and the fence of a submission are evicted only when they are older than the ledger's reach; from
 * then on, every dispatch that they would have refused is refused because its claim is too old. Confined to the thread
 * of the {@link SidecarMachine}.
 */
final class Ledger {
    private static final String RESULT_DROPPED_DETAIL = "result no longer kept";
    private static final int INITIAL_TASK_CAPACITY = 2;

    private final SidecarPolicy policy;
    private final Map<SubmissionId, SubmissionLines> claimed = new HashMap<>();
    private final Map<AttemptId, LedgerLine> idempotent = new HashMap<>();
    private final Map<SubmissionId, Fence> fences = new LinkedHashMap<>();
    private final Deque<LedgerLine> finished = new ArrayDeque<>();
    private final Deque<LedgerLine> withResults = new ArrayDeque<>();
    private int lines;
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
            return idempotent.get(attempt);
        }
        SubmissionLines submissionLines = claimed.get(attempt.key().submission());
        return submissionLines == null
                ? null
                : submissionLines.lines().get(attempt.key().task());
    }

    /** Returns the lines of a submission that has a claim. */
    Collection<LedgerLine> linesOf(SubmissionId submission) {
        SubmissionLines submissionLines = claimed.get(submission);
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
            idempotent.put(attempt, line);
        }
        if (earlier == null) {
            lines++;
        }
        if (line.isFinished()) {
            finished.add(line);
        }
        return line;
    }

    /**
     * Writes a line of work under a claim; all lines of a submission share one {@link SubmissionId} object to save
     * memory.
     */
    private LedgerLine writeClaimed(AttemptId attempt, AttemptState state, Instant now) {
        SubmissionLines submissionLines = claimed.computeIfAbsent(
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
            finished.add(line);
        }
        if (state instanceof AttemptState.Done(TaskOutcome.Completed completed)) {
            withResults.add(line);
            resultBytes += resultSize(completed);
            dropResults();
        }
        return subscribers;
    }

    /** Returns the fencing token in force for a submission, 0 if none was set at this sidecar. */
    long highestFence(SubmissionId submission) {
        Fence fence = fences.get(submission);
        return fence == null ? 0 : fence.token();
    }

    /** Raises the fence of a submission and returns the fencing token then in force, which is the higher of the two. */
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

    int size() {
        return lines + fences.size();
    }

    long resultBytes() {
        return resultBytes;
    }

    /** Evicts lines of finished attempts and fences that are older than the ledger's reach. */
    void evict(Instant now) {
        Instant oldestKept = now.minus(policy.ledgerReach());
        while (!finished.isEmpty() && finished.getFirst().changedAt().isBefore(oldestKept)) {
            LedgerLine line = finished.removeFirst();
            if (find(line.attempt()) == line) {
                remove(line);
            }
        }
        fences.values().removeIf(fence -> fence.setAt().isBefore(oldestKept));
    }

    private void remove(LedgerLine line) {
        AttemptId attempt = line.attempt();
        lines--;
        if (line.state() instanceof AttemptState.Done(TaskOutcome.Completed completed)) {
            withResults.removeFirstOccurrence(line);
            resultBytes -= resultSize(completed);
        }
        if (attempt.fence() == 0) {
            idempotent.remove(attempt);
            return;
        }
        SubmissionLines submissionLines = claimed.get(attempt.key().submission());
        submissionLines.lines().remove(attempt.key().task());
        if (submissionLines.lines().isEmpty()) {
            claimed.remove(attempt.key().submission());
        }
    }

    private void dropResults() {
        while (resultBytes > policy.maximumResultBytes() && !withResults.isEmpty()) {
            LedgerLine line = withResults.removeFirst();
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
     * @param setAt the time at which it was last set
     */
    private record Fence(long token, Instant setAt) {}
}
