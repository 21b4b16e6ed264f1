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

/** Accounts for the use of limits by kinds and teams at this entry, including queue capacity reserved at admission. */
final class LimitAccounting {
    private final LimitShareHistory shares;
    private final Map<String, LimitUsage> teams = new HashMap<>();
    private final Map<SubmissionId, Integer> reservedTasks = new HashMap<>();
    private final PriorityQueue<UnconfirmedPlacement> unconfirmed =
            new PriorityQueue<>(Comparator.comparingLong(UnconfirmedPlacement::canRunUntil));
    private Duration maximumTaskTimeout = Duration.ZERO;
    private Table table = Table.EMPTY;

    LimitAccounting(LimitShare initial) {
        this.shares = new LimitShareHistory(initial);
    }

    void confirm(LimitShare share, Instant now) {
        shares.confirm(share, now);
    }

    void tableChanged(Table newTable) {
        table = newTable;
        for (KindRow row : newTable.kinds().values()) {
            if (row.taskTimeout().compareTo(maximumTaskTimeout) > 0) {
                maximumTaskTimeout = row.taskTimeout();
            }
        }
        teams.forEach((team, usage) -> usage.update(newTable.teamLimits(team), maximumTaskTimeout));
    }

    LimitUsage newKind(KindRow row) {
        return new LimitUsage(shares, row.limits(), row.taskTimeout());
    }

    LimitUsage team(String team) {
        return teams.computeIfAbsent(team, name -> new LimitUsage(shares, table.teamLimits(name), maximumTaskTimeout));
    }

    void reserve(Submission submission, LimitUsage kind) {
        int tasks = submission.tasks().size();
        reservedTasks.put(submission.id(), tasks);
        kind.addQueued(tasks);
        team(submission.id().team()).addQueued(tasks);
    }

    void releaseReservation(Submission submission, LimitUsage kind) {
        Integer tasks = reservedTasks.remove(submission.id());
        if (tasks != null) {
            kind.removeQueued(tasks);
            team(submission.id().team()).removeQueued(tasks);
        }
    }

    /** Counts tasks as queued, except for those that were counted at admission. */
    void recordEnqueued(Submission submission, int tasks, LimitUsage kind) {
        Integer reserved = reservedTasks.remove(submission.id());
        int added = tasks - (reserved == null ? 0 : reserved);
        kind.addQueued(added);
        team(submission.id().team()).addQueued(added);
    }

    static void recordStart(LimitUsage kind, LimitUsage team, long now) {
        for (LimitUsage usage : new LimitUsage[] {kind, team}) {
            usage.removeQueued(1);
            usage.recordStart(now);
        }
    }

    static void recordFinish(LimitUsage kind, LimitUsage team) {
        kind.recordFinish();
        team.recordFinish();
    }

    /** Counts a placement with an unknown outcome as running until the time-out after which it can no longer run. */
    void recordUnknownOutcome(LimitUsage kind, LimitUsage team, long placedAt) {
        unconfirmed.add(new UnconfirmedPlacement(
                kind, team, placedAt + kind.maximumRunTime().toNanos()));
    }

    /** Stops counting the placements with an unknown outcome that can no longer run. */
    void releaseExpired(long now) {
        while (!unconfirmed.isEmpty() && unconfirmed.peek().canRunUntil() <= now) {
            UnconfirmedPlacement expired = unconfirmed.poll();
            recordFinish(expired.kind(), expired.team());
        }
    }

    /** Removes past shares that no longer apply, and the usage of teams that are idle. */
    void removeUnused(long now) {
        shares.removeExpired(maximumTaskTimeout, now);
        teams.values().removeIf(usage -> usage.isIdle(now));
    }

    /**
     * Placement that may still be running and so still counts against limits.
     *
     * @param kind the usage of its kind
     * @param team the usage of its team
     * @param canRunUntil when it can no longer run, in nanoseconds since the epoch
     */
    private record UnconfirmedPlacement(LimitUsage kind, LimitUsage team, long canRunUntil) {}
}
