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
 * Baseline for comparison with the schedulers of Caperturn: assigns each task on arrival to a sidecar, the process that
 * starts tasks at one upstream. Tasks wait there in the order of arrival.
 */
public final class PushScheduler implements Scheduler {
    private final PlacementRule rule;
    private final RandomGenerator random;
    private final Deque<TaskKey> waiting = new ArrayDeque<>();
    private final List<ProcessId> servingSidecars = new ArrayList<>();
    private final Map<ProcessId, Integer> outstandingTasks = new HashMap<>();
    /** Weights and limits of kinds of tasks and of teams. */
    private Table table = Table.EMPTY;

    private int nextSidecarIndex;

    /**
     * Creates the baseline.
     *
     * @param rule the rule that picks the sidecar
     * @param random the random number generator of the rule
     */
    public PushScheduler(PlacementRule rule, RandomGenerator random) {
        this.rule = rule;
        this.random = random;
    }

    @Override
    public void tableChanged(Table newTable, Instant now) {
        table = newTable;
    }

    @Override
    public AdmissionDecision admit(Submission submission, Instant now) {
        Optional<KindRow> row = table.kind(submission.kind());
        if (row.isEmpty()) {
            return new AdmissionDecision.Refused(
                    FailureReason.UNKNOWN_KIND, "kind is not in the table", /* retryAfter= */ Optional.empty());
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
        servingSidecars.remove(sidecar);
        if (serving) {
            servingSidecars.add(sidecar);
        }
    }

    @Override
    public void windowChanged(ProcessId sidecar, int window) {
        // A baseline ignores windows, the maximum numbers of attempts that sidecars accept.
    }

    @Override
    public void sidecarLost(ProcessId sidecar) {
        servingSidecars.remove(sidecar);
    }

    @Override
    public void placementFinished(
            TaskKey task, ProcessId sidecar, PlacementOutcome outcome, Duration serviceTime, Instant now) {
        outstandingTasks.merge(sidecar, -1, Integer::sum);
    }

    @Override
    public List<TaskPlacement> place(Instant now) {
        List<TaskPlacement> placements = new ArrayList<>();
        while (!waiting.isEmpty() && !servingSidecars.isEmpty()) {
            ProcessId target = pickSidecar();
            outstandingTasks.merge(target, 1, Integer::sum);
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

    private ProcessId pickSidecar() {
        return switch (rule) {
            case PlacementRule.RandomChoice() -> pickRandom();
            case PlacementRule.RoundRobin() -> servingSidecars.get(nextSidecarIndex++ % servingSidecars.size());
            case PlacementRule.LeastOutstanding() -> pickLeastOutstanding();
            case PlacementRule.TwoChoices() -> lessOutstandingOf(pickRandom(), pickRandom());
        };
    }

    private ProcessId pickRandom() {
        return servingSidecars.get(random.nextInt(servingSidecars.size()));
    }

    private ProcessId pickLeastOutstanding() {
        int start = random.nextInt(servingSidecars.size());
        ProcessId best = servingSidecars.get(start);
        for (int offset = 1; offset < servingSidecars.size(); offset++) {
            best = lessOutstandingOf(best, servingSidecars.get((start + offset) % servingSidecars.size()));
        }
        return best;
    }

    private ProcessId lessOutstandingOf(ProcessId one, ProcessId other) {
        return outstandingTasks.getOrDefault(other, 0) < outstandingTasks.getOrDefault(one, 0) ? other : one;
    }
}
