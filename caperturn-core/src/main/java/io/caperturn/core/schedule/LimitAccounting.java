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

/** Use of limits by kinds and teams at this entry, including queue capacity that admission reserved. */
final class LimitAccounting {
    private final LimitShareHistory shares;
    private final Map<String, LimitUsage> teams = new HashMap<>();
    private final Map<SubmissionId, Integer> reservedTasks = new HashMap<>();
    private final PriorityQueue<UnconfirmedPlacement> unconfirmed =
            new PriorityQueue<>(Comparator.comparingLong(UnconfirmedPlacement::until));
    private Duration longestTaskTimeout = Duration.ZERO;
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
            if (row.taskTimeout().compareTo(longestTaskTimeout) > 0) {
                longestTaskTimeout = row.taskTimeout();
            }
        }
        teams.forEach((team, usage) -> usage.update(newTable.teamLimits(team), longestTaskTimeout));
    }

    LimitUsage newKind(KindRow row) {
        return new LimitUsage(shares, row.limits(), row.taskTimeout());
    }

    LimitUsage team(String team) {
        return teams.computeIfAbsent(team, name -> new LimitUsage(shares, table.teamLimits(name), longestTaskTimeout));
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

    /** Records that tasks wait; those with a reservation were counted at admission. */
    void recordEnqueued(Submission submission, int tasks, LimitUsage kind) {
        Integer before = reservedTasks.remove(submission.id());
        int added = tasks - (before == null ? 0 : before);
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

    /** Counts a placement with an unknown outcome as running until its time-out, after which it can no longer run. */
    void recordUnknownOutcome(LimitUsage kind, LimitUsage team, long placedAt) {
        unconfirmed.add(new UnconfirmedPlacement(
                kind, team, placedAt + kind.longestRun().toNanos()));
    }

    void releaseExpired(long now) {
        while (!unconfirmed.isEmpty() && unconfirmed.peek().until() <= now) {
            UnconfirmedPlacement expired = unconfirmed.poll();
            recordFinish(expired.kind(), expired.team());
        }
    }

    void removeUnused(long now) {
        shares.removeExpired(longestTaskTimeout, now);
        teams.values().removeIf(usage -> usage.isIdle(now));
    }

    /**
     * Placement that may still be running and so still counts against limits.
     *
     * @param kind the usage of its kind
     * @param team the usage of its team
     * @param until when it can no longer run, in nanoseconds since the epoch
     */
    private record UnconfirmedPlacement(LimitUsage kind, LimitUsage team, long until) {}
}
