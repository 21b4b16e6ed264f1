package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.RunIdentity;

/** End of jobs of which a task is given up: it tells why in the log, and stops the other runs of the job. */
final class GivenUpJobs {
    private final DecisionLoop loop;
    private final OwnedJobRepository jobs;
    private final TaskPlacement placement;

    GivenUpJobs(DecisionLoop loop, OwnedJobRepository jobs, TaskPlacement placement) {
        this.loop = loop;
        this.jobs = jobs;
        this.placement = placement;
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
