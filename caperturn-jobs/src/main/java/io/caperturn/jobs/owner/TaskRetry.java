package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.RunIdentity;

/** Repetition of tasks whose run is lost or has failed, until a task is given up and with it its job. */
final class TaskRetry {
    private final DecisionLoop loop;
    private final OwnedJobRepository jobs;
    private final TaskPlacement placement;

    TaskRetry(DecisionLoop loop, OwnedJobRepository jobs, TaskPlacement placement) {
        this.loop = loop;
        this.jobs = jobs;
        this.placement = placement;
    }

    /** Repeats a task whose current run is over, for a cause that is logged, unless it is the cause of crashes. */
    void repeat(OwnedTask task, String cause) {
        if (task.job().finalState() != null) {
            return;
        }
        if (CrashedRuns.isCauseOfCrashes(task)) {
            giveUp(task, task.currentRun(), "crashes");
        } else {
            placement.requeue(task, cause);
        }
    }

    /** Fails the job of a task after its last run, for a cause that is logged and counted. */
    void giveUp(OwnedTask task, RunIdentity lastRun, String cause) {
        loop.log()
                .event(
                        EventName.GAVE_UP,
                        EventKey.JOB,
                        task.job().identity(),
                        EventKey.RUN,
                        lastRun,
                        EventKey.CAUSE,
                        cause,
                        EventKey.CRASHES,
                        task.crashes(),
                        EventKey.UNCONFIRMED,
                        task.unconfirmedCrashes(),
                        EventKey.EXCLUSIVE,
                        task.wasExclusive(lastRun.number()),
                        EventKey.FAILURES,
                        task.failures(),
                        EventKey.ALLOWED,
                        task.job().policy().maximumAttempts());
        loop.log().count("given-up-" + cause);
        jobs.finish(task.job(), JobState.FAILED);
        placement.stopAllRuns(task.job());
    }
}
