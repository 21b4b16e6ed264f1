package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.RunIdentity;
import java.util.Optional;

/**
 * Decision what becomes of a task when an upstream has crashed under one of its runs. It answers a load in which a task
 * crashes each upstream that starts it: after some crashes, the task runs alone on an upstream, so that it takes no
 * other task along and a further crash is known to be its own; then its job fails.
 *
 * <p>Only crashes under runs whose start the upstream had confirmed speak against a task. A run that was lost before is
 * repeated; such runs only bound the number of repetitions, because a task may crash upstreams before they confirm.
 */
final class CrashedRuns {
    /** Number of crashes after which a task runs alone. */
    private static final int CRASHES_BEFORE_EXCLUSIVE_RUN = 2;
    /** Number of runs lost in crashes, confirmed or not, after which a task is given up. */
    private static final int MAX_CRASHES = CRASHES_BEFORE_EXCLUSIVE_RUN + 1;

    private final DecisionLoop loop;
    private final OwnedJobRepository jobs;
    private final TaskRetry retry;
    private final CrashEvidence evidence;

    CrashedRuns(DecisionLoop loop, OwnedJobRepository jobs, TaskRetry retry, CrashEvidence evidence) {
        this.loop = loop;
        this.jobs = jobs;
        this.retry = retry;
        this.evidence = evidence;
    }

    /** Returns whether a task has to run alone after a number of crashes, whatever else is known of them. */
    static boolean isExclusiveRunRequiredAfter(int crashes) {
        return crashes >= CRASHES_BEFORE_EXCLUSIVE_RUN;
    }

    /** Returns whether a report tells that the run was lost in a crash of the upstream. */
    static boolean isCrash(JobFrame.Report report) {
        return isConfirmedCrash(report) || report.reason().equals(JobFrame.Report.UPSTREAM_CRASHED_UNCONFIRMED);
    }

    private static boolean isConfirmedCrash(JobFrame.Report report) {
        return report.reason().equals(JobFrame.Report.UPSTREAM_CRASHED) || isCrashAtStart(report);
    }

    private static boolean isCrashAtStart(JobFrame.Report report) {
        return report.reason().equals(JobFrame.Report.UPSTREAM_CRASHED_AT_START);
    }

    /**
     * Counts a crash under a run, unless tasks of another queue are taken for its cause, and fails the job if the task
     * crashes upstreams and no later run of it is active; returns whether the job has failed.
     */
    boolean handleCrash(OwnedTask task, JobFrame.Report report, Optional<SidecarView> sidecar) {
        RunIdentity run = report.run();
        boolean counted = !task.isIn(OwnedTask.Phase.DONE)
                && (isConfirmedCrash(report)
                        ? task.recordCrash(run.number(), isExplained(task, run, sidecar))
                        : task.recordUnconfirmedCrash(run.number()));
        logCrash(task, report, counted, sidecar);
        if (!counted) {
            return false;
        }
        loop.log().count("run-crashed");
        if (isExclusiveRunRequiredAfter(task.crashes()) || isCrashAtStart(report) && evidence.hasSeveralCrashes()) {
            task.requireExclusiveRun();
        }
        boolean laterRunActive = task.isIn(OwnedTask.Phase.SENT) && !run.equals(task.currentRun());
        if (isCauseOfCrashes(task) && !laterRunActive) {
            retry.giveUp(task, run, "crashes");
            return true;
        }
        jobs.storeProgress(task.job());
        return false;
    }

    /** Takes back a crash under a run: the upstream had been out of reach only. */
    void handleRetraction(OwnedTask task, RunIdentity run) {
        if (task.retractCrash(run.number())) {
            loop.log().event(EventName.CRASH_RETRACTED, EventKey.RUN, run, EventKey.CRASHES, task.crashes());
            jobs.storeProgress(task.job());
        }
    }

    private boolean isExplained(OwnedTask task, RunIdentity run, Optional<SidecarView> sidecar) {
        QueuePolicy queue = task.job().policy();
        return sidecar.isPresent()
                && !task.wasExclusive(run.number())
                && evidence.isExplainedByOtherQueue(sidecar.get().incarnation(), queue.service(), queue.name());
    }

    /** Returns whether a task is taken for the cause of the crashes under its runs, so that it is not started again. */
    static boolean isCauseOfCrashes(OwnedTask task) {
        return task.hasExclusiveRunCrashed() && isExclusiveRunRequiredAfter(task.crashes())
                || task.crashes() + task.unconfirmedCrashes() >= MAX_CRASHES;
    }

    private void logCrash(OwnedTask task, JobFrame.Report report, boolean counted, Optional<SidecarView> sidecar) {
        RunIdentity run = report.run();
        loop.log()
                .event(
                        EventName.RUN_CRASHED,
                        EventKey.RUN,
                        run,
                        EventKey.QUEUE,
                        task.job().policy().name(),
                        EventKey.NODE,
                        sidecar.map(SidecarView::node).orElse(""),
                        EventKey.CRASHES,
                        task.crashes(),
                        EventKey.UNCONFIRMED,
                        task.unconfirmedCrashes(),
                        EventKey.ALLOWED,
                        MAX_CRASHES,
                        EventKey.COUNTED,
                        counted,
                        EventKey.EXCLUSIVE,
                        task.wasExclusive(run.number()),
                        EventKey.REASON,
                        report.reason());
    }
}
