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

/** Use of limits by kinds and teams at this entry, with the places in queues that admission reserved. */
final class LimitBook {
    private final LimitShareHistory shares;
    private final Map<String, LimitUsage> teams = new HashMap<>();
    private final Map<SubmissionId, Integer> reserved = new HashMap<>();
    private final PriorityQueue<Held> held = new PriorityQueue<>(Comparator.comparingLong(Held::until));
    private Duration longestTimeout = Duration.ZERO;
    private Table table = Table.EMPTY;

    LimitBook(LimitShare initial) {
        this.shares = new LimitShareHistory(initial);
    }

    void confirm(LimitShare share, Instant now) {
        shares.confirm(share, now);
    }

    void tableChanged(Table newer) {
        table = newer;
        for (KindRow row : newer.kinds().values()) {
            if (row.taskTimeout().compareTo(longestTimeout) > 0) {
                longestTimeout = row.taskTimeout();
            }
        }
        teams.forEach((team, usage) -> usage.change(newer.teamLimits(team), longestTimeout));
    }

    LimitUsage newKind(KindRow row) {
        return new LimitUsage(shares, row.limits(), row.taskTimeout());
    }

    LimitUsage team(String team) {
        return teams.computeIfAbsent(team, name -> new LimitUsage(shares, table.teamLimits(name), longestTimeout));
    }

    void reserve(Submission submission, LimitUsage kind) {
        int tasks = submission.tasks().size();
        reserved.put(submission.id(), tasks);
        kind.queue(tasks);
        team(submission.id().team()).queue(tasks);
    }

    void withdraw(Submission submission, LimitUsage kind) {
        Integer tasks = reserved.remove(submission.id());
        if (tasks != null) {
            kind.unqueue(tasks);
            team(submission.id().team()).unqueue(tasks);
        }
    }

    /** Notes that tasks wait; those for which admission reserved places were counted then. */
    void enqueued(Submission submission, int tasks, LimitUsage kind) {
        Integer before = reserved.remove(submission.id());
        int added = tasks - (before == null ? 0 : before);
        kind.queue(added);
        team(submission.id().team()).queue(added);
    }

    static void started(LimitUsage kind, LimitUsage team, long now) {
        for (LimitUsage usage : new LimitUsage[] {kind, team}) {
            usage.unqueue(1);
            usage.started(now);
        }
    }

    static void ended(LimitUsage kind, LimitUsage team) {
        kind.ended();
        team.ended();
    }

    /** Counts a placement of unknown end as running until its time-out, by which it can't run any more. */
    void endedUnknown(LimitUsage kind, LimitUsage team, long placedAt) {
        held.add(new Held(kind, team, placedAt + kind.horizon().toNanos()));
    }

    void release(long now) {
        while (!held.isEmpty() && held.peek().until() <= now) {
            Held due = held.poll();
            ended(due.kind(), due.team());
        }
    }

    void forget(long now) {
        shares.forget(longestTimeout, now);
        teams.values().removeIf(usage -> usage.isIdle(now));
    }

    /**
     * Use of limits by a placement that may still run.
     *
     * @param kind the use of its kind
     * @param team the use of its team
     * @param until when it has surely ended, in nanoseconds
     */
    private record Held(LimitUsage kind, LimitUsage team, long until) {}
}
