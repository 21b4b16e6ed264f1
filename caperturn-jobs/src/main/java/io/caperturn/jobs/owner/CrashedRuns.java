package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.RunIdentity;
import java.util.Optional;

/**
 * Decision what becomes of a task when an upstream has crashed under one of its runs. It answers a load in which a task
 * crashes each upstream that starts it: after some crashes, the task runs alone on an upstream, so that it takes no
 * other task along and a further crash is known to be its own; then its job fails.
 */
final class CrashedRuns {
    /** Number of crashes after which a task runs alone. */
    private static final int CRASHES_BEFORE_EXCLUSIVE_RUN = 2;
    /** Number of crashes after which a task is given up. */
    private static final int MAX_CRASHES = CRASHES_BEFORE_EXCLUSIVE_RUN + 1;

    private final DecisionLoop loop;
    private final OwnedJobRepository jobs;
    private final TaskPlacement placement;

    CrashedRuns(DecisionLoop loop, OwnedJobRepository jobs, TaskPlacement placement) {
        this.loop = loop;
        this.jobs = jobs;
        this.placement = placement;
    }

    /** Returns whether the next run of a task has to be the only one on its upstream. */
    static boolean needsExclusiveRun(OwnedTask task) {
        return task.crashes() >= CRASHES_BEFORE_EXCLUSIVE_RUN;
    }

    /** Counts a crash under a run, and fails the job if the task crashes upstreams; returns whether it has failed. */
    boolean handleCrash(OwnedTask task, RunIdentity run, Optional<SidecarView> sidecar) {
        if (task.isIn(OwnedTask.Phase.DONE) || !task.recordCrash(run.number())) {
            return false;
        }
        OwnedJob job = task.job();
        loop.log()
                .event(
                        EventName.RUN_CRASHED,
                        EventKey.RUN,
                        run,
                        EventKey.QUEUE,
                        job.policy().name(),
                        EventKey.NODE,
                        sidecar.map(SidecarView::node).orElse(""),
                        EventKey.CRASHES,
                        task.crashes(),
                        EventKey.ALLOWED,
                        MAX_CRASHES);
        loop.log().count("run-crashed");
        if (task.crashes() < MAX_CRASHES) {
            jobs.storeProgress(job);
            return false;
        }
        loop.log().count("given-up-crashes");
        jobs.finish(job, JobState.FAILED);
        placement.stopAllRuns(job);
        return true;
    }
}
