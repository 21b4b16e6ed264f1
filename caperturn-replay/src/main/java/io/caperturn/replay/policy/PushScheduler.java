package io.caperturn.replay.policy;

import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TaskKey;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.core.model.UpstreamDescription;
import io.caperturn.core.schedule.AdmissionDecision;
import io.caperturn.core.schedule.PlacementOutcome;
import io.caperturn.core.schedule.Scheduler;
import io.caperturn.core.schedule.TaskPlacement;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Baseline that assigns each task on arrival to a back end, which is a sidecar with its upstream. Tasks wait there in
 * the order of arrival.
 */
public final class PushScheduler implements Scheduler {
    private final PlacementRule rule;
    private final RandomGenerator random;
    private final Deque<TaskKey> waiting = new ArrayDeque<>();
    private final List<ProcessId> backends = new ArrayList<>();
    private final Map<ProcessId, Integer> outstanding = new HashMap<>();
    private Table table = Table.EMPTY;
    private int nextBackendIndex;

    /**
     * Creates the baseline.
     *
     * @param rule the rule that picks the back end
     * @param random the random number generator of the rule
     */
    public PushScheduler(PlacementRule rule, RandomGenerator random) {
        this.rule = rule;
        this.random = random;
    }

    @Override
    public void tableChanged(Table newer, Instant now) {
        table = newer;
    }

    @Override
    public AdmissionDecision admit(Submission submission, Instant now) {
        Optional<KindRow> row = table.kind(submission.kind());
        if (row.isEmpty()) {
            return new AdmissionDecision.Refused(
                    FailureReason.UNKNOWN_KIND, "kind is not in the table", Optional.empty());
        }
        return new AdmissionDecision.Admitted(
                submission.urgency().orElse(row.get().urgency()), row.get().taskTimeout());
    }

    @Override
    public void releaseReservation(Submission submission) {
        // Admission reserves nothing.
    }

    @Override
    public void enqueue(Submission submission, List<TaskSpec> tasks, Instant now) {
        tasks.forEach(task -> waiting.add(new TaskKey(submission.id(), task.id())));
    }

    @Override
    public void removeWaitingTasks(SubmissionId submission) {
        waiting.removeIf(task -> task.submission().equals(submission));
    }

    @Override
    public void sidecarChanged(
            ProcessId sidecar, UpstreamDescription upstream, boolean serving, int window, Instant now) {
        backends.remove(sidecar);
        if (serving) {
            backends.add(sidecar);
        }
    }

    @Override
    public void windowChanged(ProcessId sidecar, int window) {
        // A baseline ignores the windows of sidecars.
    }

    @Override
    public void sidecarLost(ProcessId sidecar) {
        backends.remove(sidecar);
    }

    @Override
    public void placementFinished(
            TaskKey task, ProcessId sidecar, PlacementOutcome outcome, Duration serviceTime, Instant now) {
        outstanding.merge(sidecar, -1, Integer::sum);
    }

    @Override
    public List<TaskPlacement> place(Instant now) {
        List<TaskPlacement> placements = new ArrayList<>();
        while (!waiting.isEmpty() && !backends.isEmpty()) {
            ProcessId target = pickBackend();
            outstanding.merge(target, 1, Integer::sum);
            placements.add(new TaskPlacement(waiting.poll(), target));
        }
        return placements;
    }

    @Override
    public int countStartableTasks(ProcessId sidecar) {
        return 0;
    }

    @Override
    public List<SubmissionId> findUnservableSubmissions(Instant now) {
        return List.of();
    }

    private ProcessId pickBackend() {
        return switch (rule) {
            case PlacementRule.RandomChoice() -> pickRandom();
            case PlacementRule.RoundRobin() -> backends.get(nextBackendIndex++ % backends.size());
            case PlacementRule.LeastOutstanding() -> pickLeastOutstanding();
            case PlacementRule.TwoChoices() -> lessOutstandingOf(pickRandom(), pickRandom());
        };
    }

    private ProcessId pickRandom() {
        return backends.get(random.nextInt(backends.size()));
    }

    private ProcessId pickLeastOutstanding() {
        int start = random.nextInt(backends.size());
        ProcessId best = backends.get(start);
        for (int offset = 1; offset < backends.size(); offset++) {
            best = lessOutstandingOf(best, backends.get((start + offset) % backends.size()));
        }
        return best;
    }

    private ProcessId lessOutstandingOf(ProcessId one, ProcessId other) {
        return outstanding.getOrDefault(other, 0) < outstanding.getOrDefault(one, 0) ? other : one;
    }
}
