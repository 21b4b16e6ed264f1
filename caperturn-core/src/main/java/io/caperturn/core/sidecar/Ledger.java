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
 * Record of every attempt that this sidecar accepted or fenced.
 *
 * <p>Work under a claim has one line for each task; idempotent requests have one for each attempt. A line, and the
 * fence of a submission, is dropped only once it is older than the reach: by then every dispatch that it stands against
 * is refused for the age of its claim. Confined to the thread of the {@link SidecarMachine}.
 */
final class Ledger {
    private static final String RESULT_DROPPED = "result no longer kept";
    private static final int FEW_TASKS = 2;

    private final SidecarPolicy policy;
    private final Map<SubmissionId, Tasks> claimed = new HashMap<>();
    private final Map<AttemptId, LedgerLine> idempotent = new HashMap<>();
    private final Map<SubmissionId, Fence> fences = new LinkedHashMap<>();
    private final Deque<LedgerLine> ended = new ArrayDeque<>();
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
        Tasks tasks = claimed.get(attempt.key().submission());
        return tasks == null ? null : tasks.lines().get(attempt.key().task());
    }

    /** Returns the lines of a submission under a claim. */
    Collection<LedgerLine> linesOf(SubmissionId submission) {
        Tasks tasks = claimed.get(submission);
        return tasks == null ? List.of() : List.copyOf(tasks.lines().values());
    }

    /** Returns the reports on all lines of a submission under a claim. */
    List<AttemptReport> reportsOf(SubmissionId submission) {
        return linesOf(submission).stream().map(LedgerLine::report).toList();
    }

    /** Writes a line, in place of the one that the attempt falls under. */
    LedgerLine write(AttemptId attempt, AttemptState state, Instant now) {
        LedgerLine earlier = find(attempt);
        LedgerLine line = attempt.fence() == 0 ? new LedgerLine(attempt, state, now) : under(attempt, state, now);
        if (attempt.fence() == 0) {
            idempotent.put(attempt, line);
        }
        if (earlier == null) {
            lines++;
        }
        if (line.hasEnded()) {
            ended.add(line);
        }
        return line;
    }

    /** Adds a line to those of its submission, all of which share one identity of the submission. */
    private LedgerLine under(AttemptId attempt, AttemptState state, Instant now) {
        Tasks tasks = claimed.computeIfAbsent(
                attempt.key().submission(), id -> new Tasks(id, new LinkedHashMap<>(FEW_TASKS)));
        String task = attempt.key().task();
        AttemptId shared = new AttemptId(new TaskKey(tasks.submission(), task), attempt.fence(), attempt.attempt());
        LedgerLine line = new LedgerLine(shared, state, now);
        tasks.lines().put(task, line);
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
        while (!ended.isEmpty() && ended.getFirst().changedAt().isBefore(limit)) {
            LedgerLine line = ended.removeFirst();
            if (find(line.attempt()) == line) {
                remove(line);
            }
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
        Tasks tasks = claimed.get(attempt.key().submission());
        tasks.lines().remove(attempt.key().task());
        if (tasks.lines().isEmpty()) {
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
     * Lines of one submission.
     *
     * @param submission the submission
     * @param lines its lines, by task
     */
    private record Tasks(SubmissionId submission, Map<String, LedgerLine> lines) {}

    /**
     * Fence of a submission.
     *
     * @param number the lowest fence number that may still start work
     * @param setAt when it was set
     */
    private record Fence(long number, Instant setAt) {}
}
