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
 * Scheduler that serves each kind in the order of arrival and knows no limits, weights or speeds.
 *
 * <p>The simplest that can run the whole path, and the earlier version that others are measured against.
 */
public final class FifoScheduler implements Scheduler {
    private final Map<String, Deque<TaskKey>> queues = new LinkedHashMap<>();
    private final Map<ProcessId, Backend> backends = new LinkedHashMap<>();
    private final Map<ProcessId, Integer> outstanding = new HashMap<>();
    private Table table = Table.EMPTY;

    @Override
    public void tableChanged(Table newer, Instant now) {
        table = newer;
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
        // Nothing is reserved by admission here.
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
        backends.put(sidecar, new Backend(upstream, serving, window));
    }

    @Override
    public void windowChanged(ProcessId sidecar, int window) {
        backends.computeIfPresent(
                sidecar, (ignored, backend) -> new Backend(backend.upstream(), backend.serving(), window));
    }

    @Override
    public void sidecarLost(ProcessId sidecar) {
        backends.remove(sidecar);
    }

    @Override
    public void placementFinished(TaskKey task, ProcessId sidecar, PlacementOutcome end, Duration serviceTime, Instant now) {
        outstanding.merge(sidecar, -1, (before, change) -> before + change == 0 ? null : before + change);
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
                outstanding.merge(target.get(), 1, Integer::sum);
                placements.add(new TaskPlacement(queue.poll(), target.get()));
            }
        });
        return placements;
    }

    @Override
    public int countStartableTasks(ProcessId sidecar) {
        Backend backend = backends.get(sidecar);
        if (backend == null) {
            return 0;
        }
        return backend.upstream().kinds().stream()
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
        for (Map.Entry<ProcessId, Backend> entry : backends.entrySet()) {
            Backend backend = entry.getValue();
            boolean usable = backend.serving() && backend.upstream().kinds().contains(kind);
            double load = (double) outstanding.getOrDefault(entry.getKey(), 0) / Math.max(1, backend.window());
            if (usable && backend.window() > 0 && load < bestLoad) {
                best = entry.getKey();
                bestLoad = load;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * What is known of a sidecar's upstream.
     *
     * @param upstream the upstream
     * @param serving false while it takes no new work
     * @param window most placements outstanding there
     */
    private record Backend(UpstreamDescription upstream, boolean serving, int window) {}
}
