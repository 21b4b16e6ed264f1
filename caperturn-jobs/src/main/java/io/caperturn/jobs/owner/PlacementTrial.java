package io.caperturn.jobs.owner;

import io.caperturn.jobs.interference.InterferenceCost;
import io.caperturn.jobs.model.QueuePolicy;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Placement pass without effects: it places the waiting tasks of an entry (process that accepts jobs) and those of a
 * job that is not among its jobs, on copies of the backlog and of the views of sidecars (processes beside upstreams).
 */
final class PlacementTrial {
    private final InterferenceCost interference;
    private final UpstreamSelector selector;
    private final TaskBacklog backlog;
    private final List<SidecarView> sidecars;
    private final long now;
    private final Set<OwnedTask> explainedTasks = new LinkedHashSet<>();
    private final Map<OwnedTask, Selection> selections = new HashMap<>();
    private int remainingAssessments;
    private boolean endedEarly;

    /** Creates the pass at which a job of a given queue arrives; {@code now} is of the monotonic clock. */
    PlacementTrial(TaskDispatcher dispatcher, QueuePolicy queue, long now) {
        this.interference = dispatcher.interferenceNow();
        this.selector = dispatcher.selector().copyWith(interference);
        this.selector.recordArrival(queue, now);
        this.backlog = dispatcher.backlog().copy();
        this.sidecars = dispatcher.sidecars().stream().map(SidecarView::copy).toList();
        this.now = now;
    }

    /** Assesses a sidecar for a task as it is before the pass. */
    Candidacy assess(OwnedTask task, SidecarView sidecar) {
        return selector.assess(task, sidecar, sidecars, now);
    }

    /**
     * Places tasks of a new job among the waiting tasks, and returns the outcome for each of them; tasks that a maximum
     * number of assessments of a sidecar does not reach are left out. The phases of these tasks change, those of the
     * waiting tasks do not.
     */
    List<PlacementExplanation.Placement> place(List<OwnedTask> tasks, int maximumAssessments) {
        remainingAssessments = maximumAssessments;
        explainedTasks.addAll(tasks);
        explainedTasks.forEach(task -> backlog.add(task, now));
        backlog.offer(this::tryPlace, now);
        List<PlacementExplanation.Placement> placements = new ArrayList<>();
        for (OwnedTask task : explainedTasks) {
            if (!endedEarly || selections.containsKey(task)) {
                placements.add(toPlacement(task, Optional.ofNullable(selections.get(task))));
            }
        }
        return placements;
    }

    private Selection tryPlace(OwnedTask task) {
        if (remainingAssessments < sidecars.size()) {
            endedEarly = true;
            return WaitReason.NO_FREE_CAPACITY.selection(); // ends the pass for all tasks with the same demand
        }
        remainingAssessments -= sidecars.size();
        Selection selection = selector.select(task, sidecars, now);
        selections.put(task, selection);
        if (!(selection instanceof Selection.Chosen chosen)) {
            return selection;
        }
        long expectedMilliseconds = chosen.cost().expectedRunMilliseconds();
        chosen.sidecar().setHealth(chosen.sidecar().health().afterDispatch(task.currentRun(), now));
        TaskPlacement.takeCapacity(task, task.needsExclusiveRun(), chosen.sidecar(), expectedMilliseconds, now);
        if (explainedTasks.contains(task)) {
            task.assignNextRun(chosen.sidecar().incarnation(), now, expectedMilliseconds);
        }
        if (interference.isRelevant()) {
            interference.addRun(
                    chosen.sidecar().incarnation(), task.job().policy().name(), expectedMilliseconds);
        }
        return selection;
    }

    private static PlacementExplanation.Placement toPlacement(OwnedTask task, Optional<Selection> selection) {
        int step = task.identity().step();
        int index = task.identity().index();
        return selection
                .<PlacementExplanation.Placement>map(made -> switch (made) {
                    case Selection.Chosen chosen ->
                        new PlacementExplanation.Placement.Sent(
                                step, index, chosen.sidecar().node(), chosen.cost());
                    case Selection.Waiting waiting ->
                        new PlacementExplanation.Placement.Waiting(step, index, Optional.of(waiting.reason()));
                })
                .orElseGet(() -> new PlacementExplanation.Placement.Waiting(step, index, Optional.empty()));
    }
}
