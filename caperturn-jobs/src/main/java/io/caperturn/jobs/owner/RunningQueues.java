package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.interference.InterferenceCost;

/**
 * Count of the runs that this entry (process that accepts jobs) has at each sidecar, by queue; kept only while queues
 * are known to slow each other down.
 */
final class RunningQueues {
    /** Age of the count at which runs are counted anew, in milliseconds: short compared with a task of 50 ms. */
    private static final long MAX_AGE_MILLISECONDS = 10;

    private final DecisionLoop loop;
    private final OwnedJobRepository jobs;
    private final InterferenceCost cost;
    private long countedAt;

    RunningQueues(DecisionLoop loop, OwnedJobRepository jobs, InterferenceCost cost) {
        this.loop = loop;
        this.jobs = jobs;
        this.cost = cost;
    }

    /** Counts all runs anew if the count is old. */
    void refresh() {
        if (isCountOld()) {
            countedAt = loop.monotonicMilliseconds();
            countRuns(cost);
        }
    }

    /** Returns a copy of the cost as it would be after {@link #refresh}, which has no effect on later costs. */
    InterferenceCost refreshedCopy() {
        InterferenceCost copy = cost.copy();
        if (isCountOld()) {
            countRuns(copy);
        }
        return copy;
    }

    private boolean isCountOld() {
        return cost.isRelevant() && loop.monotonicMilliseconds() - countedAt >= MAX_AGE_MILLISECONDS;
    }

    private void countRuns(InterferenceCost counted) {
        counted.clearRuns();
        for (OwnedJob job : jobs.ownedJobs()) {
            for (OwnedTask task : job.tasks()) {
                if (task.isIn(OwnedTask.Phase.SENT)) {
                    add(task, counted);
                }
            }
        }
    }

    /** Adds the present run of a task that was sent since the last count. */
    void add(OwnedTask task) {
        add(task, cost);
    }

    /** Adds the present run of a task to a cost. */
    static void add(OwnedTask task, InterferenceCost counted) {
        if (counted.isRelevant()) {
            counted.addRun(task.sidecarIncarnation(), task.job().policy().name(), task.expectedRunMilliseconds());
        }
    }
}
