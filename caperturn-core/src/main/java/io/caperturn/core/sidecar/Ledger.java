package io.caperturn.core.sidecar;

import io.caperturn.core.model.AttemptId;
import io.caperturn.core.model.AttemptReport;
import io.caperturn.core.model.AttemptState;
import io.caperturn.core.model.Execution;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskOutcome;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Record of every attempt that this sidecar accepted or fenced.
 *
 * <p>Work under a claim has one line for each task; idempotent requests have one for each attempt. A line, and the
 * fence of a submission, is dropped only once it is older than the reach: by then every dispatch that it stands against
 * is refused for the age of its claim. Confined to the thread of the {@link SidecarMachine}.
 */
final class Ledger {
    private static final String RESULT_DROPPED = "result no longer kept";

    private final SidecarPolicy policy;
    private final Map<SubmissionId, Map<String, LedgerLine>> claimed = new HashMap<>();
    private final Map<AttemptId, LedgerLine> idempotent = new HashMap<>();
    private final Map<SubmissionId, Fence> fences = new LinkedHashMap<>();
    private final Set<LedgerLine> ended = new LinkedHashSet<>();
    private final Deque<LedgerLine> withResults = new ArrayDeque<>();
    private int lines;
    private long resultBytes;

    Ledger(SidecarPolicy policy) {
        this.policy = policy;
    }

    /** Finds the line that an attempt falls under, or null. */
    LedgerLine find(AttemptId attempt) {
        if (attempt.fence() == 0) {
            return idempotent.get(attempt);
        }
        Map<String, LedgerLine> tasks = claimed.get(attempt.key().submission());
        return tasks == null ? null : tasks.get(attempt.key().task());
    }

    /** Returns the lines of a submission under a claim. */
    Collection<LedgerLine> linesOf(SubmissionId submission) {
        Map<String, LedgerLine> tasks = claimed.get(submission);
        return tasks == null ? List.of() : List.copyOf(tasks.values());
    }

    /** Returns the reports on all lines of a submission under a claim. */
    List<AttemptReport> reportsOf(SubmissionId submission) {
        return linesOf(submission).stream().map(LedgerLine::report).toList();
    }

    /** Writes a line, in place of the one that the attempt falls under. */
    LedgerLine write(AttemptId attempt, AttemptState state, Instant now) {
        LedgerLine line = new LedgerLine(attempt, state, now);
        LedgerLine earlier = attempt.fence() == 0
                ? idempotent.put(attempt, line)
                : claimed.computeIfAbsent(attempt.key().submission(), ignored -> new LinkedHashMap<>())
                        .put(attempt.key().task(), line);
        if (earlier == null) {
            lines++;
        } else {
            ended.remove(earlier);
        }
        if (line.hasEnded()) {
            ended.add(line);
        }
        return line;
    }

    /** Changes the state of a line and returns who is to be told. */
    List<LedgerLine.Asker> change(LedgerLine line, AttemptState state, Instant now) {
        List<LedgerLine.Asker> told = line.change(state, now);
        if (line.hasEnded()) {
            ended.add(line);
        }
        if (state instanceof AttemptState.Done(TaskOutcome.Completed completed)) {
            withResults.add(line);
            resultBytes += bytesOf(completed);
            dropResults();
        }
        return told;
    }

    /** Returns the fence in force for a submission, 0 if none was set here. */
    long fenceOf(SubmissionId submission) {
        Fence fence = fences.get(submission);
        return fence == null ? 0 : fence.number();
    }

    /** Raises the fence of a submission and returns the one in force. */
    long fence(SubmissionId submission, long number, Instant now) {
        long inForce = Math.max(fenceOf(submission), number);
        fences.remove(submission);
        fences.put(submission, new Fence(inForce, now));
        return inForce;
    }

    /** Says whether a line may be written for new work. */
    boolean hasRoom() {
        return size() < policy.maximumLines();
    }

    /** Says whether a line may be written for a refusal; refusals leave half of the ledger to work. */
    boolean hasRoomForRefusal() {
        return size() < policy.maximumLines() / 2;
    }

    int size() {
        return lines + fences.size();
    }

    long resultBytes() {
        return resultBytes;
    }

    /** Drops what is older than the reach. */
    void evict(Instant now) {
        Instant limit = now.minus(policy.ledgerReach());
        Iterator<LedgerLine> oldest = ended.iterator();
        while (oldest.hasNext()) {
            LedgerLine line = oldest.next();
            if (!line.changedAt().isBefore(limit)) {
                break;
            }
            oldest.remove();
            remove(line);
        }
        fences.values().removeIf(fence -> fence.setAt().isBefore(limit));
    }

    private void remove(LedgerLine line) {
        AttemptId attempt = line.attempt();
        lines--;
        if (line.state() instanceof AttemptState.Done(TaskOutcome.Completed completed)) {
            withResults.removeFirstOccurrence(line);
            resultBytes -= bytesOf(completed);
        }
        if (attempt.fence() == 0) {
            idempotent.remove(attempt);
            return;
        }
        Map<String, LedgerLine> tasks = claimed.get(attempt.key().submission());
        tasks.remove(attempt.key().task());
        if (tasks.isEmpty()) {
            claimed.remove(attempt.key().submission());
        }
    }

    private void dropResults() {
        while (resultBytes > policy.maximumResultBytes() && !withResults.isEmpty()) {
            LedgerLine line = withResults.removeFirst();
            if (line.state() instanceof AttemptState.Done(TaskOutcome.Completed completed)) {
                resultBytes -= bytesOf(completed);
                Duration serviceTime = completed.serviceTime();
                line.change(
                        new AttemptState.Done(new TaskOutcome.Failed(Execution.RAN, RESULT_DROPPED, serviceTime)),
                        line.changedAt());
            }
        }
    }

    private static long bytesOf(TaskOutcome.Completed completed) {
        return completed.result().getBytes(StandardCharsets.UTF_8).length;
    }

    /**
     * Fence of a submission.
     *
     * @param number the lowest fence number that may still start work
     * @param setAt when it was set
     */
    private record Fence(long number, Instant setAt) {}
}
