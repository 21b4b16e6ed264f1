package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.interference.FleetSlowdowns;
import io.caperturn.jobs.interference.InterferenceCost;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.zone.ZoneEvacuations;
import java.util.Collection;
import java.util.List;

/**
 * Dispatcher of the tasks of an entry (process that accepts jobs) to sidecars (processes beside upstreams). It joins
 * the directory of sidecars, the placement of tasks, the handler of reports on runs and the detector of lost runs.
 */
final class TaskDispatcher {
    private final DecisionLoop loop;
    private final OwnedJobRepository jobs;
    private final DurationModel durations = new DurationModel();
    private final FleetSlowdowns slowdowns;
    private final SidecarDirectory sidecars;
    private final TaskPlacement placement;
    private final RunReportHandler reports;
    private final RunLossDetector lossDetector;
    private final WaitingTaskLog waitingTaskLog;

    TaskDispatcher(DecisionLoop loop, LinkPort links, OwnedJobRepository jobs, ZoneEvacuations evacuations) {
        this.loop = loop;
        this.jobs = jobs;
        this.sidecars = new SidecarDirectory(loop, links, evacuations);
        this.slowdowns = new FleetSlowdowns(loop);
        this.placement = new TaskPlacement(loop, links, jobs, sidecars, durations, new InterferenceCost(slowdowns));
        TaskRetry retry = new TaskRetry(loop, jobs, placement);
        this.reports = new RunReportHandler(loop, links, jobs, sidecars, placement, retry, durations);
        this.lossDetector = new RunLossDetector(jobs, sidecars, placement, retry, reports);
        this.waitingTaskLog = new WaitingTaskLog(loop, placement, sidecars);
    }

    QueueConfinement confinement() {
        return sidecars.confinement();
    }

    Collection<SidecarView> sidecars() {
        return sidecars.views();
    }

    DurationModel durations() {
        return durations;
    }

    /** Returns when the last new sidecar connected, or else the start of this entry, on the monotonic clock. */
    long lastNewSidecarAt() {
        return sidecars.lastNewSidecarAt();
    }

    /** Returns the cost of interference with which a placement pass would begin now, as a copy. */
    InterferenceCost interferenceNow() {
        return placement.interferenceNow();
    }

    UpstreamSelector selector() {
        return placement.selector();
    }

    TaskBacklog backlog() {
        return placement.backlog();
    }

    void linkOpened(JobFrame.Hello hello) {
        sidecars.linkOpened(hello);
    }

    void linkClosed(String incarnation) {
        sidecars.linkClosed(incarnation);
    }

    void handleStatus(String incarnation, JobFrame.Status status, boolean renewStoredRuns) {
        sidecars.find(incarnation).ifPresent(view -> {
            sidecars.applyStatus(view, status, renewStoredRuns);
            placement.schedulePass();
        });
    }

    void enqueueReadyTasks(OwnedJob job) {
        placement.enqueueReadyTasks(job);
    }

    /** Takes over a run that a known sidecar reported: dispatches it again there, which makes this entry its owner. */
    void takeOverRun(OwnedTask task, RunIdentity run, String incarnation) {
        placement.takeOverRun(task, run, sidecars.find(incarnation).orElseThrow());
    }

    /** Handles the inventory of a sidecar, its list of all runs: requeues missing tasks and applies the reports. */
    void handleInventory(String incarnation, JobFrame.Inventory inventory) {
        sidecars.find(incarnation).ifPresent(view -> lossDetector.handleInventory(view, inventory));
    }

    /** Handles a sidecar's estimates of how much the runs of queues slow each other down. */
    void handleSlowdowns(String incarnation, JobFrame.Slowdowns estimates) {
        slowdowns.update(incarnation, estimates);
    }

    void handleReport(String incarnation, JobFrame.Report report) {
        reports.handleReport(incarnation, report);
    }

    /** Handles the end of a run of an owned job, of which a sidecar did not know the owner. */
    void handleUnclaimedEnd(String incarnation, JobFrame.Report report) {
        reports.handleUnclaimedEnd(incarnation, report);
    }

    /** Orders a sidecar to stop a run, for a cause that is logged. */
    void withdraw(RunIdentity run, String incarnation, String cause) {
        sidecars.withdraw(run, incarnation, cause);
    }

    void stopAllRuns(OwnedJob job) {
        placement.stopAllRuns(job);
    }

    void tick() {
        long now = loop.monotonicMilliseconds();
        lossDetector.requeueLostRuns(now);
        abandonTooLate(now);
        sidecars.forgetLost(now);
        sidecars.confinement().refresh(/* newCrash= */ false);
        slowdowns.tick();
        placement.placeWaitingTasks();
        waitingTaskLog.tick();
    }

    /** Abandons jobs that are not durable, have no task sent, and cannot complete while their caller still waits. */
    private void abandonTooLate(long now) {
        for (OwnedJob job : List.copyOf(jobs.ownedJobs())) {
            long expiry = job.arrivedAt() + OwnedJob.EXPIRY_FACTOR * job.objectiveMilliseconds();
            if (!job.plan().durable() && !job.hasSentTasks() && now + job.plan().criticalPathMilliseconds() > expiry) {
                jobs.abandon(job.identity(), "too-late");
            }
        }
    }

    void clear() {
        placement.backlog().clear(); // other entries own the jobs now
        sidecars.clear();
        slowdowns.clear();
    }
}
