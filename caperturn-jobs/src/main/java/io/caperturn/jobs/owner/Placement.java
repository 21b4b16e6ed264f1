package io.caperturn.jobs.owner;

import io.caperturn.jobs.model.StepPlan;
import java.util.Collection;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Choice of the upstream on which a task is likely to end first.
 *
 * <p>A task goes to a sidecar only if there is room for it now; otherwise it waits at its entry, where it can still go
 * anywhere. Where several entries send to the same room, the sidecar refuses what no longer fits.
 */
final class Placement {
    /** What a full upstream counts for against an empty one, in milliseconds: spreads load where speeds are alike. */
    private static final double CROWDING_MILLISECONDS = 12;

    /** Share of the room that is kept for more urgent work, whose many tasks have a tenth of a second to start. */
    private static final double RESERVED_SHARE = 0.1;

    /** Time after the last urgent job for which room is kept, in milliseconds: such jobs come several a second. */
    private static final long RESERVED_MILLISECONDS = 5_000;

    private final TreeMap<Integer, Long> lastSeen = new TreeMap<>();
    private final DurationModel durations;

    Placement(DurationModel durations) {
        this.durations = durations;
    }

    /** The upstream chosen, and how long the run is expected to take there, in milliseconds. */
    record Choice(SidecarView sidecar, long expectedMilliseconds) {}

    Optional<Choice> choose(OwnedTask task, Collection<SidecarView> sidecars, long now) {
        if (isLessUrgent(task, now) && isReserved(task, sidecars)) {
            return Optional.empty();
        }
        SidecarView best = null;
        double bestEnd = Double.MAX_VALUE;
        long shortest = Long.MAX_VALUE;
        for (SidecarView sidecar : sidecars) {
            if (!suits(task, sidecar, now)) {
                continue;
            }
            shortest = Math.min(shortest, predict(task, sidecar));
            if (!sidecar.free().covers(task.step().need())) {
                continue;
            }
            double end = predict(task, sidecar) + crowding(sidecar) + distrust(task, sidecar);
            if (end < bestEnd) {
                bestEnd = end;
                best = sidecar;
            }
        }
        if (best == null || isWorthWaiting(task, predict(task, best), shortest, now)) {
            return Optional.empty();
        }
        return Optional.of(new Choice(best, predict(task, best)));
    }

    /** Notes that work of an urgency has come. */
    void seen(int urgency, long now) {
        lastSeen.put(urgency, now);
    }

    /** Tells whether more urgent work than a task has come lately. */
    private boolean isLessUrgent(OwnedTask task, long now) {
        for (long seen : lastSeen.headMap(task.job().policy().urgency()).values()) {
            if (now - seen < RESERVED_MILLISECONDS) {
                return true;
            }
        }
        return false;
    }

    /** Tells whether the room that is left is kept for more urgent work; what is idle altogether is not. */
    private static boolean isReserved(OwnedTask task, Collection<SidecarView> sidecars) {
        long free = 0;
        long capacity = 0;
        for (SidecarView sidecar : sidecars) {
            if (sidecar.isUsable()
                    && sidecar.status().service().equals(task.job().policy().service())) {
                free += Math.max(0, sidecar.free().processorMillis());
                capacity += sidecar.status().capacity().processorMillis();
            }
        }
        return free < (1 - RESERVED_SHARE) * capacity
                && free - task.step().need().processorMillis() < RESERVED_SHARE * capacity;
    }

    /** Tells whether a task would be late where it could start now, but not on a faster upstream that is busy. */
    private static boolean isWorthWaiting(OwnedTask task, long here, long shortest, long now) {
        long left = task.job().arrivedAt() + task.job().objective() - now;
        return here > left && shortest <= left;
    }

    /** Tells whether any upstream that is known could ever run a task of a step. */
    static boolean canEverRun(StepPlan step, String service, Collection<SidecarView> sidecars) {
        boolean known = false;
        for (SidecarView sidecar : sidecars) {
            if (sidecar.status() != null && sidecar.status().service().equals(service)) {
                known = true;
                if (sidecar.status().capacity().covers(step.need()) && hasLabel(step, sidecar)) {
                    return true;
                }
            }
        }
        return !known;
    }

    private boolean suits(OwnedTask task, SidecarView sidecar, long now) {
        if (!sidecar.isUsable() || sidecar.isEjected(now)) {
            return false;
        }
        if (!sidecar.status().service().equals(task.job().policy().service())
                || !sidecar.status().capacity().covers(task.step().need())
                || !hasLabel(task.step(), sidecar)) {
            return false;
        }
        if (sidecar.isOnProbation()
                && task.failures() + 1 >= task.job().policy().maximumAttempts()) {
            return false;
        }
        int most = task.step().maximumPerUpstream();
        return most == 0 || countThere(task, sidecar) < most;
    }

    private static boolean hasLabel(StepPlan step, SidecarView sidecar) {
        return step.requiredLabel().isEmpty() || sidecar.status().labels().contains(step.requiredLabel());
    }

    private static long countThere(OwnedTask task, SidecarView sidecar) {
        return task.job().tasks().stream()
                .filter(other -> other.identity().step() == task.identity().step()
                        && other.isIn(OwnedTask.Phase.SENT)
                        && other.sidecar().equals(sidecar.incarnation()))
                .count();
    }

    private long predict(OwnedTask task, SidecarView sidecar) {
        return durations.predict(
                task.job().policy().name(), sidecar.node(), task.step().estimatedMilliseconds());
    }

    private static double crowding(SidecarView sidecar) {
        double capacity = Math.max(1, sidecar.status().capacity().processorMillis());
        return CROWDING_MILLISECONDS * (1 - Math.max(0, sidecar.free().processorMillis()) / capacity);
    }

    /** Keeps second attempts away from where the first failed, and on upstreams that others' tasks have proved. */
    private double distrust(OwnedTask task, SidecarView sidecar) {
        if (task.failedAt().isEmpty() && task.failures() == 0) {
            return 0;
        }
        double penalty = predict(task, sidecar);
        return (task.failedAt().contains(sidecar.node()) ? 10 * penalty : 0) + (sidecar.isProven() ? 0 : 3 * penalty);
    }
}
