package io.caperturn.core.schedule;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.TreeSet;

/** Waiting submissions of one team in one lane, those due first before the others. */
final class TeamQueue extends FairQueue.Member {
    private final String team;
    private LimitUsage usage;
    private final NavigableSet<SubmissionQueue> submissions = new TreeSet<>(
            Comparator.comparingDouble(SubmissionQueue::dueBy).thenComparingInt(SubmissionQueue::sequence));
    private int placed;

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

    /** Counts against another account from now on; only while idle, after the earlier account was closed. */
    void rebind(LimitUsage newer) {
        usage = newer;
    }

    NavigableSet<SubmissionQueue> submissions() {
        return submissions;
    }

    void placed() {
        placed++;
    }

    void ended() {
        placed--;
    }

    boolean isIdle() {
        return submissions.isEmpty() && placed == 0;
    }
}
