package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.JobFrame;
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
    /** Number of crashes after which a task is given up, also if no run is known to have been alone. */
    private static final int MAX_CRASHES = CRASHES_BEFORE_EXCLUSIVE_RUN + 1;

    private final DecisionLoop loop;
    private final OwnedJobRepository jobs;
    private final GivenUpJobs givenUpJobs;
    private final CrashEvidence evidence;

    CrashedRuns(DecisionLoop loop, OwnedJobRepository jobs, GivenUpJobs givenUpJobs, CrashEvidence evidence) {
        this.loop = loop;
        this.jobs = jobs;
        this.givenUpJobs = givenUpJobs;
        this.evidence = evidence;
    }

    /** Returns whether a task has to run alone after a number of crashes, whatever else is known of them. */
    static boolean isExclusiveRunRequiredAfter(int crashes) {
        return crashes >= CRASHES_BEFORE_EXCLUSIVE_RUN;
    }

    /** Returns whether a report tells that the upstream crashed under its run. */
    static boolean isCrash(JobFrame.Report report) {
        return report.reason().equals(JobFrame.Report.UPSTREAM_CRASHED)
                || report.reason().equals(JobFrame.Report.UPSTREAM_CRASHED_AT_START);
    }

    /**
     * Counts a crash under a run, unless tasks of another queue are taken for its cause, and fails the job if the task
     * crashes upstreams; returns whether the job has failed.
     */
    boolean handleCrash(OwnedTask task, JobFrame.Report report, Optional<SidecarView> sidecar) {
        RunIdentity run = report.run();
        OwnedJob job = task.job();
        boolean explained = sidecar.isPresent()
                && !task.wasExclusive(run.number())
                && evidence.isExplainedByOtherQueue(
                        sidecar.get().incarnation(),
                        job.policy().service(),
                        job.policy().name());
        boolean counted = !task.isIn(OwnedTask.Phase.DONE) && task.recordCrash(run.number(), explained);
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
                        MAX_CRASHES,
                        EventKey.COUNTED,
                        counted,
                        EventKey.EXCLUSIVE,
                        task.wasExclusive(run.number()),
                        EventKey.REASON,
                        report.reason());
        if (!counted) {
            return false;
        }
        loop.log().count("run-crashed");
        boolean atStart = report.reason().equals(JobFrame.Report.UPSTREAM_CRASHED_AT_START);
        if (isExclusiveRunRequiredAfter(task.crashes()) || atStart && evidence.hasSeveralCrashes()) {
            task.requireExclusiveRun();
        }
        if (task.crashes() < MAX_CRASHES && !task.wasExclusive(run.number())) {
            jobs.storeProgress(job);
            return false;
        }
        givenUpJobs.giveUp(task, run, "crashes");
        return true;
    }
}
