package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.zone.ZoneStartGate;
import java.util.Optional;

/**
 * Handler of the reports on runs (attempts) that sidecars, the processes beside upstreams, send to an entry, the
 * process that accepts jobs: it records successes, and repeats runs that failed, stalled or were refused.
 */
final class RunReportHandler {
    /**
     * Time after which a task is repeated whose job a sidecar takes for over, in milliseconds; a write to the store
     * takes far less.
     */
    private static final long OVER_RETRY_MILLISECONDS = 500;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final OwnedJobRepository jobs;
    private final SidecarDirectory sidecars;
    private final TaskPlacement placement;
    private final DurationModel durations;
    private final UpstreamEjection ejection;
    private final TaskRetry retry;
    private final CrashedRuns crashes;

    RunReportHandler(
            DecisionLoop loop,
            LinkPort links,
            OwnedJobRepository jobs,
            SidecarDirectory sidecars,
            TaskPlacement placement,
            TaskRetry retry,
            DurationModel durations) {
        this.loop = loop;
        this.links = links;
        this.jobs = jobs;
        this.sidecars = sidecars;
        this.placement = placement;
        this.durations = durations;
        this.ejection = new UpstreamEjection(loop);
        this.retry = retry;
        this.crashes = new CrashedRuns(loop, jobs, retry, sidecars.crashEvidence());
    }

    void handleReport(String incarnation, JobFrame.Report report) {
        RunIdentity run = report.run();
        Optional<OwnedTask> known = findTask(run);
        known.ifPresent(task -> task.recordRunNumber(run.number()));
        Optional<OwnedTask> current =
                known.filter(task -> task.isIn(OwnedTask.Phase.SENT) && run.equals(task.currentRun()));
        // Also applies to a job that is over, because the sidecar does not tell this entry of the same room again.
        sidecars.find(incarnation).ifPresent(view -> {
            applyRoom(report, current, view);
            if (report.outcome().isFinished()) {
                view.setHealth(view.health().afterEnd(run));
            }
        });
        if (known.isPresent()) {
            handleReport(known.get(), incarnation, report, current.isPresent());
        } else if (report.outcome().isRecorded()
                && jobs.findFinalState(run.task().job()) != null) {
            links.send(incarnation, new JobFrame.Settled(run)); // the sidecar can discard the outcome
        }
    }

    /**
     * Handles the end of a run of an owned job, of which the sidecar did not know the owner: an earlier process had
     * started it there, or it was taken for lost. The sidecar does not know either whether the job is stored.
     */
    void handleUnclaimedEnd(String incarnation, JobFrame.Report report) {
        Optional<OwnedTask> task = findTask(report.run());
        handleReport(incarnation, report);
        if (task.isEmpty() || !task.get().job().plan().durable()) {
            links.send(incarnation, new JobFrame.Settled(report.run()));
        }
    }

    private Optional<OwnedTask> findTask(RunIdentity run) {
        OwnedJob job = jobs.find(run.task().job());
        return job == null ? Optional.empty() : Optional.ofNullable(job.findTask(run.task()));
    }

    private void handleReport(OwnedTask task, String incarnation, JobFrame.Report report, boolean isCurrent) {
        Optional<SidecarView> sidecar = sidecars.find(incarnation);
        switch (report.outcome()) {
            case QUEUED -> handleActive(task, incarnation, report, isCurrent);
            case RUNNING -> {
                task.job().markStarted();
                handleActive(task, incarnation, report, isCurrent);
                if (isCurrent && report.reason().equals(JobFrame.Report.STANDS_STILL)) {
                    sidecar.ifPresent(view -> handleStall(task, view));
                }
            }
            case DONE -> handleSuccess(task, incarnation, report, isCurrent);
            case FAILED -> handleFailure(task, incarnation, report, isCurrent);
            case LAPSED, STOPPED, REFUSED -> {
                if (report.reason().equals(JobFrame.Report.CRASH_RETRACTED)) {
                    crashes.handleRetraction(task, report.run());
                    return; // the lapse was handled before
                }
                if (isCurrent && report.reason().equals(JobFrame.Report.JOB_OVER)) {
                    handleOver(task, report.run());
                    return;
                }
                boolean givenUp = CrashedRuns.isCrash(report) && crashes.handleCrash(task, report, sidecar);
                if (isCurrent && !givenUp) {
                    sidecar.ifPresent(view -> recordRefusal(task, view, report));
                    retry.repeat(task, report.outcome() + "-" + report.reason());
                }
            }
        }
    }

    /**
     * Handles that a run was refused because another entry has told the sidecar that the job is over: the next write of
     * the job shows its state. The task is repeated if the job turns out to be open.
     */
    private void handleOver(OwnedTask task, RunIdentity run) {
        jobs.storeProgress(task.job());
        loop.after(OVER_RETRY_MILLISECONDS, () -> {
            if (task.isIn(OwnedTask.Phase.SENT) && run.equals(task.currentRun())) {
                retry.repeat(task, JobFrame.Report.JOB_OVER);
            }
        });
    }

    /**
     * Handles the report of a queued or active run: stops one whose task is done or sent again under a later number.
     */
    private void handleActive(OwnedTask task, String incarnation, JobFrame.Report report, boolean isCurrent) {
        if (isCurrent) {
            return;
        }
        loop.log()
                .event(
                        EventName.RUN_SUPERSEDED,
                        EventKey.RUN,
                        report.run(),
                        EventKey.SIDECAR,
                        incarnation,
                        EventKey.OUTCOME,
                        report.outcome(),
                        EventKey.PHASE,
                        task.phase(),
                        EventKey.BEFORE,
                        task.currentRun());
        boolean givenUp = report.run().number() <= task.currentRun().number()
                && !task.job().isRecovering();
        if (givenUp || task.isIn(OwnedTask.Phase.DONE)) {
            sidecars.withdraw(report.run(), incarnation, "superseded");
        }
    }

    /** Makes the room that a report tells usable before the sidecar's next status. */
    private void applyRoom(JobFrame.Report report, Optional<OwnedTask> currentTask, SidecarView view) {
        if (view.applyRoom(report, currentTask, loop.monotonicMilliseconds())) {
            placement.schedulePass();
        }
    }

    private void recordRefusal(OwnedTask task, SidecarView view, JobFrame.Report report) {
        switch (report.reason()) {
            case ZoneStartGate.ZONE_EVACUATED,
                    JobFrame.Report.UPSTREAM_UNREACHABLE,
                    JobFrame.Report.UPSTREAM_REPLACED,
                    JobFrame.Report.UPSTREAM_UNUSABLE -> view.markStatusOutdated();
            case "unhealthy" -> ejection.countFailure(task, view);
            default -> {}
        }
    }

    private void handleSuccess(OwnedTask task, String incarnation, JobFrame.Report report, boolean isCurrent) {
        OwnedJob job = task.job();
        if (task.recordSuccess(report.run().number())) {
            sidecars.find(incarnation).ifPresent(view -> learnFromSuccess(task, view, report));
        }
        job.markStarted();
        if (task.isIn(OwnedTask.Phase.DONE)) {
            jobs.recordCompletion(job, report.run(), incarnation);
            return;
        }
        if (!isCurrent && task.isIn(OwnedTask.Phase.SENT)) {
            sidecars.withdraw(task.currentRun(), task.sidecarIncarnation(), "other-run-done");
        }
        task.setPhase(OwnedTask.Phase.DONE);
        jobs.recordCompletion(job, report.run(), incarnation);
        if (job.areAllTasksDone()) {
            jobs.finish(job, JobState.COMPLETED);
        } else if (!job.isRecovering()) {
            placement.enqueueReadyTasks(job);
        }
    }

    /** Learns from the first report on a successful run; a repetition tells nothing new of the upstream. */
    private void learnFromSuccess(OwnedTask task, SidecarView view, JobFrame.Report report) {
        view.setHealth(view.health().afterSuccess());
        // The duration of a run that started on a cold upstream says nothing about later ones.
        if (!view.wasColdAt(task.sentAt())) {
            durations.recordRun(
                    task.job().policy().name(),
                    view.node(),
                    task.step().estimatedMilliseconds(),
                    report.runMilliseconds());
        }
    }

    private void handleFailure(OwnedTask task, String incarnation, JobFrame.Report report, boolean isCurrent) {
        Optional<SidecarView> sidecar = sidecars.find(incarnation);
        String node = sidecar.map(SidecarView::node).orElse("");
        OwnedJob job = task.job();
        job.markStarted();
        jobs.recordCompletion(job, report.run(), incarnation);
        if (task.isIn(OwnedTask.Phase.DONE) || !task.recordFailure(report.run().number(), node)) {
            return; // the failure no longer matters, or was counted before
        }
        loop.log()
                .event(
                        EventName.RUN_FAILED,
                        EventKey.RUN,
                        report.run(),
                        EventKey.NODE,
                        node,
                        EventKey.FAILURES,
                        task.failures(),
                        EventKey.ALLOWED,
                        job.policy().maximumAttempts());
        sidecar.ifPresent(view -> ejection.countFailure(task, view));
        if (task.failures() >= job.policy().maximumAttempts()) {
            retry.giveUp(task, report.run(), "failures");
        } else if (isCurrent) {
            retry.repeat(task, "failed");
        }
    }

    private void handleStall(OwnedTask task, SidecarView view) {
        if (task.isStopOrdered()) {
            return;
        }
        loop.log()
                .event(
                        EventName.STALLED,
                        EventKey.RUN,
                        task.currentRun(),
                        EventKey.NODE,
                        view.node(),
                        EventKey.RAN,
                        loop.monotonicMilliseconds() - task.sentAt());
        loop.log().count("stalled");
        task.markStopOrdered();
        task.failedNodes().add(view.node());
        ejection.countFailure(task, view);
        sidecars.withdraw(task.currentRun(), task.sidecarIncarnation(), "stalled");
    }
}
