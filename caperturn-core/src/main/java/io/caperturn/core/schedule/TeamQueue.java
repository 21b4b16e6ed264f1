package io.caperturn.core.schedule;

import java.util.Comparator;
import java.util.NavigableSet;
import java.util.TreeSet;

/** Waiting submissions of one team within a {@link KindQueue} (the waiting tasks of one kind), in order of due time. */
final class TeamQueue extends FairQueue.Member {
    private final String teamName;
    private LimitUsage usage;
    private final NavigableSet<SubmissionQueue> submissionQueues =
            new TreeSet<>(Comparator.comparingDouble(SubmissionQueue::dueAtSeconds)
                    .thenComparingInt(SubmissionQueue::sequenceNumber));
    /** The number of placed tasks that have not finished. */
    private int placedTasks;

    TeamQueue(String teamName, LimitUsage usage, int sequenceNumber) {
        super(sequenceNumber);
        this.teamName = teamName;
        this.usage = usage;
    }

    String teamName() {
        return teamName;
    }

    LimitUsage usage() {
        return usage;
    }

    /**
     * Sets the usage of the team's limits. It is a different object than before only if {@link LimitAccounting} removed
     * the earlier one while the team was idle.
     */
    void setUsage(LimitUsage newUsage) {
        usage = newUsage;
    }

    NavigableSet<SubmissionQueue> submissionQueues() {
        return submissionQueues;
    }

    void taskPlaced() {
        placedTasks++;
    }

    void taskFinished() {
        placedTasks--;
    }

    boolean isIdle() {
        return submissionQueues.isEmpty() && placedTasks == 0;
    }
}
