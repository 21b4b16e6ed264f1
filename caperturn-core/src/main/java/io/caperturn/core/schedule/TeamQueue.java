package io.caperturn.core.schedule;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.TreeSet;

/** Waiting submissions of one team within one {@link KindQueue}, in order of due time. */
final class TeamQueue extends FairQueue.Member {
    private final String team;
    private LimitUsage usage;
    private final NavigableSet<SubmissionQueue> submissions = new TreeSet<>(
            Comparator.comparingDouble(SubmissionQueue::dueBy).thenComparingInt(SubmissionQueue::sequence));
    /** The number of placed tasks that have not finished. */
    private int placedTasks;

    TeamQueue(String team, LimitUsage usage, int sequence) {
        super(sequence);
        this.team = team;
        this.usage = usage;
    }

    String team() {
        return team;
    }

    LimitUsage usage() {
        return usage;
    }

    /**
     * Replaces the record of the limits that the team's tasks count against. Another one than before is passed only
     * after the team was idle and {@link LimitAccounting} removed the earlier record.
     */
    void setUsage(LimitUsage newUsage) {
        usage = newUsage;
    }

    NavigableSet<SubmissionQueue> submissions() {
        return submissions;
    }

    void taskPlaced() {
        placedTasks++;
    }

    void taskFinished() {
        placedTasks--;
    }

    boolean isIdle() {
        return submissions.isEmpty() && placedTasks == 0;
    }
}
