package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;

/** Periodic log of the tasks that have waited for long, with how each sidecar is assessed as their place. */
final class WaitingTaskLog {
    /** Interval of the log, and minimum age of the jobs whose tasks it counts, in milliseconds. */
    private static final long INTERVAL_MILLISECONDS = 1_000;
    /** Maximum number of different demands that are logged at once. */
    private static final int MAX_DEMANDS = 8;

    private static final String FULL = "FULL";
    private static final String POSSIBLE = "POSSIBLE";

    private final DecisionLoop loop;
    private final TaskPlacement placement;
    private final SidecarDirectory sidecars;
    private long loggedAt;

    WaitingTaskLog(DecisionLoop loop, TaskPlacement placement, SidecarDirectory sidecars) {
        this.loop = loop;
        this.placement = placement;
        this.sidecars = sidecars;
    }

    /** Tasks with one demand: the first of them in the order of starts, and their number. */
    private record Group(OwnedTask first, int count) {
        Group plusOne() {
            return new Group(first, count + 1);
        }
    }

    /** Writes the log if it is due; called at short intervals. */
    void tick() {
        long now = loop.monotonicMilliseconds();
        if (now - loggedAt < INTERVAL_MILLISECONDS || placement.backlog().isEmpty()) {
            return;
        }
        loggedAt = now;
        Map<TaskDemand, Group> groups = new LinkedHashMap<>();
        for (OwnedTask task : placement.backlog().tasks()) {
            if (task.isIn(OwnedTask.Phase.WAITING) && now - task.job().arrivedAt() >= INTERVAL_MILLISECONDS) {
                groups.merge(TaskDemand.of(task), new Group(task, 1), (known, added) -> known.plusOne());
            }
        }
        groups.entrySet().stream().limit(MAX_DEMANDS).forEach(entry -> log(entry.getKey(), entry.getValue(), now));
    }

    private void log(TaskDemand demand, Group group, long now) {
        Map<String, Integer> assessments = new TreeMap<>();
        Collection<SidecarView> views = sidecars.views();
        for (SidecarView view : views) {
            String assessment = switch (placement.selector().assess(group.first(), view, views, now)) {
                case Candidacy.Excluded excluded -> excluded.reason().name();
                case Candidacy.Full full -> FULL;
                case Candidacy.Possible possible -> POSSIBLE;
            };
            assessments.merge(assessment, 1, Integer::sum);
        }
        loop.log()
                .event(
                        EventName.TASKS_WAITING,
                        EventKey.QUEUE,
                        demand.queue().name(),
                        EventKey.LABEL,
                        demand.requiredLabel(),
                        EventKey.EXCLUSIVE,
                        demand.exclusive(),
                        EventKey.LAST_ATTEMPT,
                        demand.lastAttempt(),
                        EventKey.TASKS,
                        group.count(),
                        EventKey.JOB,
                        group.first().job().identity(),
                        EventKey.AFTER,
                        now - group.first().job().arrivedAt(),
                        EventKey.SIDECARS,
                        assessments);
    }
}
