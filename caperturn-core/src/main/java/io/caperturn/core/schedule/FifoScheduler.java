package io.caperturn.core.schedule;

import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.ProcessId;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Table;
import io.caperturn.core.model.TaskKey;
import io.caperturn.core.model.TaskSpec;
import io.caperturn.core.model.UpstreamDescription;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Scheduler that places the tasks of each kind in order of arrival, without limits, weights or learned speeds.
 *
 * <p>It is the baseline with which other schedulers are compared. The table is the operators' list of kinds of task. A
 * sidecar is the process beside an upstream that passes tasks to it.
 */
public final class FifoScheduler implements Scheduler {
    private final Map<String, Deque<TaskKey>> queues = new LinkedHashMap<>();
    private final Map<ProcessId, UpstreamState> upstreams = new LinkedHashMap<>();
    private final Map<ProcessId, Integer> outstandingPlacements = new HashMap<>();
    private Table table = Table.EMPTY;

    @Override
    public void tableChanged(Table newTable, Instant now) {
        table = newTable;
    }

    @Override
    public AdmissionDecision admit(Submission submission, Instant now) {
        Optional<KindRow> row = table.kind(submission.kind());
        if (row.isEmpty()) {
            return new AdmissionDecision.Refused(
                    FailureReason.UNKNOWN_KIND, "the table has no kind " + submission.kind(), Optional.empty());
        }
        return new AdmissionDecision.Admitted(
                submission.urgency().orElse(row.get().urgency()), row.get().taskTimeout());
    }

    @Override
    public void releaseReservation(Submission submission) {
        // Admission reserves nothing in this scheduler.
    }

    @Override
    public void enqueue(Submission submission, List<TaskSpec> tasks, Instant now) {
        Deque<TaskKey> queue = queues.computeIfAbsent(submission.kind(), ignored -> new ArrayDeque<>());
        tasks.forEach(task -> queue.add(new TaskKey(submission.id(), task.id())));
    }

    @Override
    public void removeWaitingTasks(SubmissionId submission) {
        queues.values()
                .forEach(queue -> queue.removeIf(task -> task.submission().equals(submission)));
    }

    @Override
    public void sidecarChanged(
            ProcessId sidecar, UpstreamDescription upstream, boolean serving, int window, Instant now) {
        upstreams.put(sidecar, new UpstreamState(upstream, serving, window));
    }

    @Override
    public void windowChanged(ProcessId sidecar, int window) {
        upstreams.computeIfPresent(
                sidecar, (ignored, state) -> new UpstreamState(state.upstream(), state.serving(), window));
    }

    @Override
    public void sidecarLost(ProcessId sidecar) {
        upstreams.remove(sidecar);
    }

    @Override
    public void placementFinished(
            TaskKey task, ProcessId sidecar, PlacementOutcome outcome, Duration serviceTime, Instant now) {
        outstandingPlacements.merge(sidecar, -1, (before, change) -> before + change == 0 ? null : before + change);
    }

    @Override
    public List<TaskPlacement> place(Instant now) {
        List<TaskPlacement> placements = new ArrayList<>();
        queues.forEach((kind, queue) -> {
            while (!queue.isEmpty()) {
                Optional<ProcessId> target = findLeastLoaded(kind);
                if (target.isEmpty()) {
                    return;
                }
                outstandingPlacements.merge(target.get(), 1, Integer::sum);
                placements.add(new TaskPlacement(queue.poll(), target.get()));
            }
        });
        return placements;
    }

    @Override
    public int countStartableTasks(ProcessId sidecar) {
        UpstreamState state = upstreams.get(sidecar);
        if (state == null) {
            return 0;
        }
        return state.upstream().kinds().stream()
                .map(queues::get)
                .mapToInt(queue -> queue == null ? 0 : queue.size())
                .sum();
    }

    @Override
    public List<SubmissionId> findUnservableSubmissions(Instant now) {
        return List.of();
    }

    private Optional<ProcessId> findLeastLoaded(String kind) {
        ProcessId best = null;
        double bestLoad = 1;
        for (Map.Entry<ProcessId, UpstreamState> entry : upstreams.entrySet()) {
            UpstreamState state = entry.getValue();
            boolean usable = state.serving() && state.upstream().kinds().contains(kind);
            double load = (double) outstandingPlacements.getOrDefault(entry.getKey(), 0) / Math.max(1, state.window());
            if (usable && state.window() > 0 && load < bestLoad) {
                best = entry.getKey();
                bestLoad = load;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * State of a sidecar's upstream.
     *
     * @param upstream the upstream
     * @param serving false while the upstream accepts no new tasks
     * @param window the maximum number of outstanding placements
     */
    private record UpstreamState(UpstreamDescription upstream, boolean serving, int window) {}
}
