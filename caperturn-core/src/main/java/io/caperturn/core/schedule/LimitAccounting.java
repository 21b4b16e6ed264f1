package io.caperturn.core.schedule;

import io.caperturn.core.model.KindRow;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.Table;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Accounts for the use of limits by kinds of task and teams at this entry (a process that accepts submissions),
 * including queue capacity reserved at admission.
 *
 * <p>An entry may use a share of each limit. Times of type long are in nanoseconds since the epoch.
 */
final class LimitAccounting {
    private final LimitShareHistory shares;
    private final Map<String, LimitUsage> teamUsages = new HashMap<>();
    private final Map<SubmissionId, Integer> reservedTasks = new HashMap<>();
    private final PriorityQueue<PlacementWithUnknownOutcome> unknownOutcomes =
            new PriorityQueue<>(Comparator.comparingLong(PlacementWithUnknownOutcome::countedUntil));
    private Duration maximumTaskTimeout = Duration.ZERO;
    private Table table = Table.EMPTY;

    LimitAccounting(LimitShare initial) {
        this.shares = new LimitShareHistory(initial);
    }

    void confirmShare(LimitShare share, Instant now) {
        shares.confirm(share, now);
    }

    void tableChanged(Table newTable) {
        table = newTable;
        for (KindRow row : newTable.kinds().values()) {
            if (row.taskTimeout().compareTo(maximumTaskTimeout) > 0) {
                maximumTaskTimeout = row.taskTimeout();
            }
        }
        teamUsages.forEach((team, usage) -> usage.updateLimits(newTable.teamLimits(team), maximumTaskTimeout));
    }

    LimitUsage newKindUsage(KindRow row) {
        return new LimitUsage(shares, row.limits(), row.taskTimeout());
    }

    LimitUsage teamUsage(String team) {
        return teamUsages.computeIfAbsent(
                team, name -> new LimitUsage(shares, table.teamLimits(name), maximumTaskTimeout));
    }

    /** Counts the tasks of an admitted submission as queued before they are enqueued. */
    void reserve(Submission submission, LimitUsage kindUsage) {
        int tasks = submission.tasks().size();
        reservedTasks.put(submission.id(), tasks);
        kindUsage.addQueued(tasks);
        teamUsage(submission.id().team()).addQueued(tasks);
    }

    void releaseReservation(Submission submission, LimitUsage kindUsage) {
        Integer tasks = reservedTasks.remove(submission.id());
        if (tasks != null) {
            kindUsage.removeQueued(tasks);
            teamUsage(submission.id().team()).removeQueued(tasks);
        }
    }

    /** Counts enqueued tasks as queued, except for those that were counted at admission. */
    void recordEnqueued(Submission submission, int tasks, LimitUsage kindUsage) {
        Integer reserved = reservedTasks.remove(submission.id());
        int added = tasks - (reserved == null ? 0 : reserved);
        kindUsage.addQueued(added);
        teamUsage(submission.id().team()).addQueued(added);
    }

    static void recordStart(LimitUsage kindUsage, LimitUsage teamUsage, long now) {
        for (LimitUsage usage : new LimitUsage[] {kindUsage, teamUsage}) {
            usage.removeQueued(1);
            usage.recordStart(now);
        }
    }

    static void recordFinish(LimitUsage kindUsage, LimitUsage teamUsage) {
        kindUsage.recordFinish();
        teamUsage.recordFinish();
    }

    /** Counts a task with an unknown outcome as running until its maximum run time since placement has passed. */
    void recordUnknownOutcome(LimitUsage kindUsage, LimitUsage teamUsage, long placedAt) {
        unknownOutcomes.add(new PlacementWithUnknownOutcome(
                kindUsage, teamUsage, placedAt + kindUsage.maximumRunTime().toNanos()));
    }

    /** Stops counting the tasks with an unknown outcome that can no longer be running. */
    void releaseExpired(long now) {
        while (!unknownOutcomes.isEmpty() && unknownOutcomes.peek().countedUntil() <= now) {
            PlacementWithUnknownOutcome expired = unknownOutcomes.poll();
            recordFinish(expired.kindUsage(), expired.teamUsage());
        }
    }

    /** Removes past shares that no longer apply, and the usages of idle teams. */
    void removeUnused(long now) {
        shares.removeExpired(maximumTaskTimeout, now);
        teamUsages.values().removeIf(usage -> usage.isIdle(now));
    }

    /**
     * Placed task with an unknown outcome, which counts against limits as long as it can still be running.
     *
     * @param kindUsage the usage of its kind
     * @param teamUsage the usage of its team
     * @param countedUntil when it can no longer be running, in nanoseconds since the epoch
     */
    private record PlacementWithUnknownOutcome(LimitUsage kindUsage, LimitUsage teamUsage, long countedUntil) {}
}
