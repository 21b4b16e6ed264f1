package io.caperturn.jobs.owner;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.upstream.SidecarTimings;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Detector of lost runs (attempts): tasks that were sent to a sidecar, the process beside an upstream, and either never
 * arrived there or must have been stopped since. It puts them back into the backlog.
 *
 * <p>A sidecar stops runs unless the entry (process that accepts jobs) renews its lease, as it does after each status
 * message.
 */
final class RunLossDetector {
    /** Maximum time to stop a run, in milliseconds: the upstream's lease, clock drift, the stop itself and a margin. */
    private static final long MAX_STOP_MILLISECONDS = 1_500;
    /** Maximum time from the last renewal of the lease until the runs on a sidecar have stopped, in milliseconds. */
    static final long RUN_EXPIRY_MILLISECONDS =
            SidecarTimings.OWNER_LEASE_ON_STORED_RUNS_MILLISECONDS + MAX_STOP_MILLISECONDS;
    /** Like {@link #RUN_EXPIRY_MILLISECONDS}, for runs of jobs that are not durable (not stored). */
    private static final long TRANSIENT_RUN_EXPIRY_MILLISECONDS =
            SidecarTimings.OWNER_LEASE_ON_TRANSIENT_RUNS_MILLISECONDS + MAX_STOP_MILLISECONDS;

    private final OwnedJobRepository jobs;
    private final SidecarDirectory sidecars;
    private final TaskPlacement placement;
    private final TaskRetry retry;
    private final RunReportHandler reports;

    RunLossDetector(
            OwnedJobRepository jobs,
            SidecarDirectory sidecars,
            TaskPlacement placement,
            TaskRetry retry,
            RunReportHandler reports) {
        this.jobs = jobs;
        this.sidecars = sidecars;
        this.placement = placement;
        this.retry = retry;
        this.reports = reports;
    }

    /** Handles the inventory of a sidecar, its list of all runs: requeues missing tasks and applies the reports. */
    void handleInventory(SidecarView view, JobFrame.Inventory inventory) {
        Map<RunIdentity, JobFrame.Report> reportsByRun = new HashMap<>();
        inventory.runs().forEach(report -> reportsByRun.put(report.run(), report));
        for (OwnedJob job : List.copyOf(jobs.ownedJobs())) {
            for (OwnedTask task : job.tasks()) {
                if (task.isIn(OwnedTask.Phase.SENT) && wasSentToInstanceOf(task, view)) {
                    reconcile(task, view, reportsByRun.remove(task.currentRun()), inventory);
                }
            }
        }
        reportsByRun.values().forEach(report -> reports.handleReport(view.incarnation(), report));
    }

    private boolean wasSentToInstanceOf(OwnedTask task, SidecarView view) {
        return task.sidecarIncarnation().equals(view.incarnation())
                || sidecars.find(task.sidecarIncarnation())
                        .filter(addressee -> addressee.node().equals(view.node()))
                        .isPresent();
    }

    /** Requeues a sent task without a report (null) if it will never start; otherwise applies the report. */
    private void reconcile(OwnedTask task, SidecarView view, JobFrame.Report report, JobFrame.Inventory inventory) {
        if (report == null) {
            boolean sameIncarnation = task.sidecarIncarnation().equals(view.incarnation());
            if (sameIncarnation
                    ? task.isCoveredByInventory(view.currentLinkNumber(), inventory.dispatchesSeen())
                    : inventory.complete()) { // lists all runs of the upstream
                retry.repeat(task, "not-in-inventory");
            }
        } else if (report.outcome().isFinished()) {
            reports.handleReport(view.incarnation(), report);
        } else {
            placement.takeOverRun(task, report.run(), view);
        }
    }

    /** Requeues the tasks whose sidecar is lost, once their runs must have stopped there. */
    void requeueLostRuns(long now) {
        for (OwnedJob job : List.copyOf(jobs.ownedJobs())) {
            for (OwnedTask task : job.tasks()) {
                if (task.isIn(OwnedTask.Phase.SENT) && isSidecarLost(task, now)) {
                    retry.repeat(task, "sidecar-lost");
                }
            }
        }
    }

    private boolean isSidecarLost(OwnedTask task, long now) {
        long runExpiry = task.job().plan().durable() ? RUN_EXPIRY_MILLISECONDS : TRANSIENT_RUN_EXPIRY_MILLISECONDS;
        return sidecars.find(task.sidecarIncarnation())
                .map(view -> !view.isLinked() && now - view.leaseSentAt() > runExpiry)
                .orElse(true);
    }
}
