package io.caperturn.jobs.owner;

import io.caperturn.jobs.interference.InterferenceCost;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.StepPlan;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Selector of the upstream at which a task has the lowest cost: its expected duration there, and what it costs others.
 *
 * <p>An entry (process that accepts jobs) sends a task to a sidecar, the process beside an upstream, only if the
 * upstream has free capacity now; otherwise the task waits at the entry, from where it can still be sent to any
 * upstream. Several entries can send tasks to the same free capacity; the sidecar then refuses those that no longer
 * fit.
 *
 * <p>After repeated failures, an upstream is ejected: it gets no tasks for a time, then a single one as a probe.
 */
final class UpstreamSelector {
    /**
     * Penalty of a fully used upstream compared with an idle one, in milliseconds: spreads load over upstreams of
     * similar speed.
     */
    private static final double LOAD_PENALTY_MILLISECONDS = 12;

    /**
     * Fraction of the capacity that is reserved for jobs that are more urgent than the present task: such a job has
     * many tasks, which must start within a tenth of a second.
     */
    private static final double RESERVED_CAPACITY_FRACTION = 0.1;

    /**
     * Time for which capacity stays reserved after the arrival of a more urgent job, in milliseconds: such jobs arrive
     * several times a second.
     */
    private static final long RESERVATION_MILLISECONDS = 5_000;

    /** Monotonic time at which tasks of each queue last became ready, in milliseconds. */
    private final Map<QueuePolicy, Long> lastArrivalByQueue = new HashMap<>();

    private final DurationModel durations;

    private final InterferenceCost interference;

    private final QueueConfinement confinement;

    UpstreamSelector(DurationModel durations, InterferenceCost interference, QueueConfinement confinement) {
        this.durations = durations;
        this.interference = interference;
        this.confinement = confinement;
    }

    /** Returns a copy that uses another cost of interference, and whose arrivals can be changed without an effect. */
    UpstreamSelector copyWith(InterferenceCost otherInterference) {
        UpstreamSelector copy = new UpstreamSelector(durations, otherInterference, confinement);
        copy.lastArrivalByQueue.putAll(lastArrivalByQueue);
        return copy;
    }

    /** Selects the upstream for a task, or tells why the task has to wait; {@code now} is of the monotonic clock. */
    Selection select(OwnedTask task, Collection<SidecarView> sidecars, long now) {
        if (hasRecentMoreUrgentWork(task, now) && isCapacityReserved(task, sidecars)) {
            return WaitReason.CAPACITY_RESERVED.selection();
        }
        boolean exclusive = task.needsExclusiveRun();
        String exclusivePlace = exclusive ? ExclusivePlace.select(task, sidecars, confinement) : "";
        SidecarView best = null;
        PlacementCost lowestCost = null;
        long shortestMilliseconds = Long.MAX_VALUE;
        boolean stepLimitReached = false;
        for (SidecarView sidecar : sidecars) {
            if (exclusive && !sidecar.node().equals(exclusivePlace)) {
                continue;
            }
            switch (assess(task, sidecar, sidecars, now)) {
                case Candidacy.Excluded excluded ->
                    stepLimitReached |= excluded.reason() == ExclusionReason.STEP_LIMIT && hasRoom(task, sidecar);
                case Candidacy.Full full ->
                    shortestMilliseconds = Math.min(shortestMilliseconds, full.expectedMilliseconds());
                case Candidacy.Possible possible -> {
                    PlacementCost cost = possible.cost();
                    shortestMilliseconds = Math.min(shortestMilliseconds, cost.expectedRunMilliseconds());
                    if (best == null || cost.total() < lowestCost.total()) {
                        lowestCost = cost;
                        best = sidecar;
                    }
                }
            }
        }
        if (best == null) {
            return reasonWithoutPlace(task, stepLimitReached).selection();
        }
        if (shouldWaitForFasterUpstream(task, lowestCost.expectedRunMilliseconds(), shortestMilliseconds, now)) {
            return WaitReason.FASTER_UPSTREAM_FULL.selection();
        }
        return new Selection.Chosen(best, lowestCost);
    }

    private WaitReason reasonWithoutPlace(OwnedTask task, boolean stepLimitReached) {
        if (stepLimitReached) {
            return WaitReason.STEP_LIMIT_REACHED;
        }
        if (task.needsExclusiveRun()) {
            return WaitReason.EXCLUSIVE_PLACE_TAKEN;
        }
        return confinement.isConfined(task) ? WaitReason.QUEUE_CONFINED : WaitReason.NO_FREE_CAPACITY;
    }

    private static boolean hasRoom(OwnedTask task, SidecarView sidecar) {
        return sidecar.freeResources().covers(task.step().resourcesPerTask());
    }

    /**
     * Assesses one of several sidecars as the place for a task, at a time of the monotonic clock in milliseconds. The
     * task is excluded if it cannot be sent there even once the upstream has free capacity.
     */
    Candidacy assess(OwnedTask task, SidecarView sidecar, Collection<SidecarView> sidecars, long now) {
        StepPlan step = task.step();
        if (sidecar.isEvacuated()) {
            return ExclusionReason.ZONE_EVACUATED.candidacy();
        }
        if (!sidecar.isUsable()) {
            return ExclusionReason.UNUSABLE.candidacy();
        }
        if (sidecar.health().isEjected(now)) {
            return ExclusionReason.EJECTED.candidacy();
        }
        if (!sidecar.status().service().equals(task.job().policy().service())) {
            return ExclusionReason.WRONG_SERVICE.candidacy();
        }
        if (!sidecar.status().capacity().covers(step.resourcesPerTask())) {
            return ExclusionReason.TOO_SMALL.candidacy();
        }
        if (!hasLabel(step.requiredLabel(), sidecar)) {
            return ExclusionReason.LABEL_MISSING.candidacy();
        }
        // The place of exclusive runs is set apart by itself.
        if (!task.needsExclusiveRun() && confinement.excludes(task, sidecar)) {
            return ExclusionReason.CONFINEMENT.candidacy();
        }
        // The probe of an ejected upstream may fail; it should not be the last attempt that a task is allowed.
        if (sidecar.health().isAvoidedByLastAttempts(now)
                && task.isLastAttempt()
                && isSoundUpstreamKnown(task, sidecars)) {
            return ExclusionReason.LAST_ATTEMPT_PROBE.candidacy();
        }
        int limit = step.maximumPerUpstream();
        if (limit != 0 /* unlimited */ && countSentTo(task, sidecar) >= limit) {
            return ExclusionReason.STEP_LIMIT.candidacy();
        }
        long expectedMilliseconds = ColdSpeed.predictMilliseconds(
                durations.predictMilliseconds(task.job().policy().name(), sidecar.node(), step.estimatedMilliseconds()),
                sidecar.coldMilliseconds(now));
        return hasRoom(task, sidecar)
                ? new Candidacy.Possible(new PlacementCost(
                        expectedMilliseconds,
                        loadPenalty(sidecar),
                        failurePenalty(task, sidecar, expectedMilliseconds),
                        interference.extraMilliseconds(
                                task.job().policy().name(), expectedMilliseconds, sidecar.incarnation())))
                : new Candidacy.Full(expectedMilliseconds);
    }

    /** Returns whether a task may be sent to an upstream that has not been ejected, at least once it has room. */
    private boolean isSoundUpstreamKnown(OwnedTask task, Collection<SidecarView> sidecars) {
        String service = task.job().policy().service();
        return sidecars.stream()
                .anyMatch(view -> view.isUsable()
                        && !view.health().isOnProbation()
                        && fits(task.step(), service, view)
                        && (task.needsExclusiveRun() || !confinement.excludes(task, view)));
    }

    /** Records that tasks of a queue have become ready to start, at a time of the monotonic clock in milliseconds. */
    void recordArrival(QueuePolicy queue, long now) {
        lastArrivalByQueue.values().removeIf(arrivedAt -> now - arrivedAt >= RESERVATION_MILLISECONDS);
        lastArrivalByQueue.put(queue, now);
    }

    /** Returns whether tasks that are more urgent than the given one, and use the same room, became ready recently. */
    private boolean hasRecentMoreUrgentWork(OwnedTask task, long now) {
        QueuePolicy own = task.job().policy();
        return lastArrivalByQueue.entrySet().stream()
                .anyMatch(arrival -> arrival.getKey().urgency() < own.urgency()
                        && now - arrival.getValue() < RESERVATION_MILLISECONDS
                        && arrival.getKey().service().equals(own.service())
                        && confinement.isConfined(arrival.getKey()) == confinement.isConfined(own));
    }

    /**
     * Returns whether a task would use free capacity that is reserved for more urgent tasks; nothing is reserved while
     * nearly all capacity is free. Only upstreams that the task may use count.
     */
    private boolean isCapacityReserved(OwnedTask task, Collection<SidecarView> sidecars) {
        long free = 0;
        long capacity = 0;
        for (SidecarView sidecar : sidecars) {
            if (sidecar.isUsable()
                    && sidecar.status().service().equals(task.job().policy().service())
                    && !confinement.excludes(task, sidecar)) {
                free += Math.max(0, sidecar.freeResources().processorMillis());
                capacity += sidecar.status().capacity().processorMillis();
            }
        }
        return free < (1 - RESERVED_CAPACITY_FRACTION) * capacity
                && free - task.step().resourcesPerTask().processorMillis() < RESERVED_CAPACITY_FRACTION * capacity;
    }

    /**
     * Returns whether a task would be late on the selected upstream, but on time on a faster one that is fully used
     * now.
     */
    private static boolean shouldWaitForFasterUpstream(
            OwnedTask task, long expectedMilliseconds, long shortestMilliseconds, long now) {
        long remainingMilliseconds = task.job().arrivedAt() + task.job().objectiveMilliseconds() - now;
        return expectedMilliseconds > remainingMilliseconds && shortestMilliseconds <= remainingMilliseconds;
    }

    /** Returns whether the upstream of a sidecar could run a task of a step if nothing else ran there. */
    static boolean fits(StepPlan step, String service, SidecarView sidecar) {
        return fits(step.resourcesPerTask(), step.requiredLabel(), service, sidecar);
    }

    /** Returns whether the upstream of a sidecar could run a task with some needs if nothing else ran there. */
    static boolean fits(Resources need, String requiredLabel, String service, SidecarView sidecar) {
        return sidecar.status() != null
                && sidecar.status().service().equals(service)
                && sidecar.status().capacity().covers(need)
                && hasLabel(requiredLabel, sidecar);
    }

    /**
     * Returns whether any known upstream of a service (kind) outside evacuated zones could ever run a task of a step;
     * true if none is known, or one has not told yet what it is.
     */
    static boolean canEverRun(StepPlan step, String service, Collection<SidecarView> sidecars) {
        boolean anyKnown = false;
        for (SidecarView sidecar : sidecars) {
            if (sidecar.isLinked()
                    && sidecar.status() != null
                    && sidecar.status().awaitingDescription()) {
                return true;
            }
            if (sidecar.status() != null && sidecar.status().service().equals(service)) {
                anyKnown = true;
                if (!sidecar.isEvacuated() && fits(step, service, sidecar)) {
                    return true;
                }
            }
        }
        return !anyKnown;
    }

    private static boolean hasLabel(String requiredLabel, SidecarView sidecar) {
        return requiredLabel.isEmpty() || sidecar.status().labels().contains(requiredLabel);
    }

    /** Returns the number of tasks of a task's step that were sent to a sidecar and have not completed. */
    private static long countSentTo(OwnedTask task, SidecarView sidecar) {
        return task.job().tasks().stream()
                .filter(other -> other.identity().step() == task.identity().step()
                        && other.isIn(OwnedTask.Phase.SENT)
                        && other.sidecarIncarnation().equals(sidecar.incarnation()))
                .count();
    }

    /** Returns a penalty that grows with the used fraction of the upstream's capacity, in milliseconds. */
    private static double loadPenalty(SidecarView sidecar) {
        double capacity = Math.max(1, sidecar.status().capacity().processorMillis());
        return LOAD_PENALTY_MILLISECONDS
                * (1 - Math.max(0, sidecar.freeResources().processorMillis()) / capacity);
    }

    /**
     * Returns a penalty, in milliseconds, that keeps the retries of a task away from instances on which it failed, and
     * less strongly from upstreams on which no run has succeeded since their last failure.
     */
    private static double failurePenalty(OwnedTask task, SidecarView sidecar, long expectedMilliseconds) {
        if (task.failedNodes().isEmpty() && task.failures() == 0) {
            return 0;
        }
        return (task.failedNodes().contains(sidecar.node()) ? 10.0 * expectedMilliseconds : 0)
                + (sidecar.health().isKnownGood() ? 0 : 3.0 * expectedMilliseconds);
    }
}
