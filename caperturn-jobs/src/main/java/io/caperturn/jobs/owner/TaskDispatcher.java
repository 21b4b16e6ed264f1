package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.upstream.SidecarTimings;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Dispatcher of the tasks of owned jobs: sends them to sidecars, tracks their runs, and sends them again if needed. */
final class TaskDispatcher {
    /** Number of tasks that fit no upstream after which a placement pass ends: later tasks are as unlikely to fit. */
    private static final int MAX_REFUSALS = 6;
    /** Failures in a row, each of another job, after which an upstream is ejected: it then gets no tasks for a time. */
    private static final int EJECTION_FAILURES = 3;
    /** Time until an ejected upstream receives a single task as a probe, in milliseconds. */
    private static final long EJECTION_MILLISECONDS = 2_000;
    /** Maximum time to stop a run, in milliseconds: upstream lease, its clock drift, the stop itself, and a margin. */
    private static final long MAX_STOP_MILLISECONDS = 1_500;
    /** Time from the last lease renewal sent to a sidecar until no run sent there is active, in milliseconds. */
    static final long RUN_EXPIRY_MILLISECONDS = SidecarTimings.RUN_AUTHORITY_MILLISECONDS + MAX_STOP_MILLISECONDS;
    /** Like {@link #RUN_EXPIRY_MILLISECONDS}, for runs of jobs that are not stored. */
    private static final long TRANSIENT_RUN_EXPIRY_MILLISECONDS =
            SidecarTimings.TRANSIENT_AUTHORITY_MILLISECONDS + MAX_STOP_MILLISECONDS;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final OwnedJobRegistry jobs;
    private final DurationModel durations = new DurationModel();
    private final UpstreamSelector upstreamSelector = new UpstreamSelector(durations);
    private final TaskBacklog backlog = new TaskBacklog();
    private final Map<String, SidecarView> sidecars = new HashMap<>();
    private boolean placementScheduled;
    private long lastNewSidecarAt;

    TaskDispatcher(DecisionLoop loop, LinkPort links, OwnedJobRegistry jobs) {
        this.loop = loop;
        this.links = links;
        this.jobs = jobs;
        this.lastNewSidecarAt = loop.monotonicMilliseconds();
    }

    Collection<SidecarView> sidecars() {
        return sidecars.values();
    }

    DurationModel durations() {
        return durations;
    }

    /** Returns when the last new sidecar linked; the start of this entry if none has. */
    long lastNewSidecarAt() {
        return lastNewSidecarAt;
    }

    TaskBacklog backlog() {
        return backlog;
    }

    void linkOpened(String node, String incarnation) {
        SidecarView view = sidecars.computeIfAbsent(incarnation, key -> {
            lastNewSidecarAt = loop.monotonicMilliseconds();
            return new SidecarView(node, key);
        });
        view.linkOpened();
    }

    void linkClosed(String incarnation) {
        SidecarView view = sidecars.get(incarnation);
        if (view != null) {
            view.setLinked(false);
        }
    }

    void handleStatus(String incarnation, JobFrame.Status status, boolean hasAuthority) {
        SidecarView view = sidecars.get(incarnation);
        if (view == null) {
            return;
        }
        view.update(status, loop.monotonicMilliseconds());
        links.send(incarnation, new JobFrame.Lease(status.renewal(), hasAuthority));
        schedulePlacement();
    }

    void enqueueReadyTasks(OwnedJob job) {
        upstreamSelector.recordArrival(job.policy().urgency(), loop.monotonicMilliseconds());
        for (OwnedTask task : job.tasks()) {
            if (task.isIn(OwnedTask.Phase.BLOCKED) && job.isReady(task.step())) {
                backlog.add(task, loop.monotonicMilliseconds());
            }
        }
        placeWaitingTasks();
    }

    /** Records that a sidecar has a run, and dispatches it again, which makes this entry the owner of the run. */
    void attach(OwnedTask task, RunIdentity run, String incarnation) {
        SidecarView view = sidecars.get(incarnation);
        long expectedMilliseconds = durations.predict(
                task.job().policy().name(), view.node(), task.step().estimatedMilliseconds());
        task.attach(incarnation, run.number(), loop.monotonicMilliseconds(), expectedMilliseconds);
        send(task, view, expectedMilliseconds);
    }

    void placeWaitingTasks() {
        placementScheduled = false;
        if (!backlog.isEmpty()) {
            backlog.offer(this::tryDispatch, loop.monotonicMilliseconds(), MAX_REFUSALS);
        }
    }

    private void schedulePlacement() {
        if (!placementScheduled && !backlog.isEmpty()) {
            placementScheduled = true;
            loop.after(0, this::placeWaitingTasks);
        }
    }

    private boolean tryDispatch(OwnedTask task) {
        Optional<UpstreamSelector.Choice> choice =
                upstreamSelector.select(task, sidecars.values(), loop.monotonicMilliseconds());
        if (choice.isEmpty()) {
            return false;
        }
        SidecarView view = choice.get().sidecar();
        if (view.isOnProbation()) {
            view.startProbe();
        }
        task.assignNextRun(
                view.incarnation(), loop.monotonicMilliseconds(), choice.get().expectedMilliseconds());
        loop.log()
                .event(
                        EventName.PLACED,
                        EventKey.RUN,
                        task.currentRun(),
                        EventKey.NODE,
                        view.node(),
                        EventKey.FREE,
                        view.free().processorMillis(),
                        EventKey.STATUS_AGE,
                        loop.monotonicMilliseconds() - view.lastLeaseAt(),
                        EventKey.EXPECTED,
                        task.expectedRunMilliseconds());
        send(task, view, choice.get().expectedMilliseconds());
        return true;
    }

    private void send(OwnedTask task, SidecarView view, long expectedMilliseconds) {
        StepPlan step = task.step();
        long sequence = view.recordDispatch(step.need(), step.need().processorMillis() * expectedMilliseconds);
        long slackMilliseconds =
                TaskBacklog.latestStart(task, loop.monotonicMilliseconds()) - loop.monotonicMilliseconds();
        task.setDispatch(view.linkCount(), sequence);
        links.send(
                view.incarnation(),
                new JobFrame.Dispatch(
                        sequence,
                        task.currentRun(),
                        task.job().plan().payload(),
                        step.need(),
                        expectedMilliseconds,
                        slackMilliseconds,
                        task.job().policy().urgency(),
                        task.job().plan().durable()));
    }

    /** Handles the inventory of a sidecar: requeues the tasks missing there, and handles the other reports. */
    void handleInventory(String incarnation, JobFrame.Inventory inventory) {
        SidecarView view = sidecars.get(incarnation);
        if (view == null) {
            return;
        }
        Map<RunIdentity, JobFrame.Report> knownRuns = new HashMap<>();
        inventory.runs().forEach(report -> knownRuns.put(report.run(), report));
        for (OwnedJob job : List.copyOf(jobs.owned())) {
            for (OwnedTask task : job.tasks()) {
                if (task.isIn(OwnedTask.Phase.SENT) && wasSentToInstanceOf(task, view)) {
                    reconcile(task, view, knownRuns.remove(task.currentRun()), inventory);
                }
            }
        }
        knownRuns.values().forEach(report -> handleReport(incarnation, report));
    }

    private boolean wasSentToInstanceOf(OwnedTask task, SidecarView view) {
        SidecarView at = sidecars.get(task.sidecar());
        return task.sidecar().equals(view.incarnation())
                || at != null && at.node().equals(view.node());
    }

    /** Requeues a sent task if the inventory shows that it will never start; else applies the reported state. */
    private void reconcile(OwnedTask task, SidecarView view, JobFrame.Report report, JobFrame.Inventory inventory) {
        if (report == null) {
            boolean sameIncarnation = task.sidecar().equals(view.incarnation());
            if (sameIncarnation
                    ? task.isCoveredBy(view.linkCount(), inventory.dispatchesSeen())
                    : inventory.complete()) {
                requeue(task, "not-in-inventory");
            }
        } else if (report.outcome().isFinished()) {
            handleReport(view.incarnation(), report);
        } else {
            attach(task, report.run(), view.incarnation());
        }
    }

    void handleReport(String incarnation, JobFrame.Report report) {
        RunIdentity run = report.run();
        OwnedJob job = jobs.find(run.task().job());
        OwnedTask task = job == null ? null : job.task(run.task());
        if (task == null) {
            // The job has finished, so the completion need not be stored any more.
            if (report.outcome().isRecorded() && jobs.closedState(run.task().job()) != null) {
                links.send(incarnation, new JobFrame.Settled(run));
            }
            return;
        }
        SidecarView view = sidecars.get(incarnation);
        task.raiseRunNumber(run.number());
        boolean current = task.isIn(OwnedTask.Phase.SENT) && run.equals(task.currentRun());
        switch (report.outcome()) {
            case QUEUED -> {}
            case RUNNING -> {
                job.markStarted();
                if (current && report.reason().equals(JobFrame.Report.STANDS_STILL)) {
                    handleStall(task, view);
                }
            }
            case DONE -> handleSuccess(task, incarnation, report, current);
            case FAILED -> handleFailure(task, incarnation, report, current);
            case STOPPED, LAPSED, REFUSED -> {
                if (view != null) {
                    view.endProbe();
                }
                if (current) {
                    if (view != null && report.reason().equals(JobFrame.Report.NO_ROOM)) {
                        view.markFull();
                    } else if (view != null && report.reason().equals("unhealthy")) {
                        countFailure(task, view);
                    }
                    requeue(task, report.outcome() + "-" + report.reason());
                }
            }
        }
    }

    private void handleSuccess(OwnedTask task, String incarnation, JobFrame.Report report, boolean current) {
        SidecarView view = sidecars.get(incarnation);
        OwnedJob job = task.job();
        if (view != null) {
            view.recordSuccess();
            durations.recordRun(
                    job.policy().name(), view.node(), task.step().estimatedMilliseconds(), report.runMilliseconds());
        }
        job.markStarted();
        if (task.isIn(OwnedTask.Phase.DONE)) {
            jobs.recordCompletion(job, report.run(), incarnation);
            return;
        }
        if (!current && task.isIn(OwnedTask.Phase.SENT)) {
            // Another run has succeeded, so the current one is not needed.
            links.send(task.sidecar(), new JobFrame.Withdraw(task.currentRun()));
        }
        task.setPhase(OwnedTask.Phase.DONE);
        jobs.recordCompletion(job, report.run(), incarnation);
        if (job.areAllTasksDone()) {
            jobs.finish(job, JobState.COMPLETED);
        } else if (!job.isRecovering()) {
            enqueueReadyTasks(job);
        }
    }

    private void handleFailure(OwnedTask task, String incarnation, JobFrame.Report report, boolean current) {
        SidecarView view = sidecars.get(incarnation);
        OwnedJob job = task.job();
        job.markStarted();
        jobs.recordCompletion(job, report.run(), incarnation);
        if (!task.recordFailure(report.run().number(), view == null ? "" : view.node())) {
            return;
        }
        loop.log()
                .event(
                        EventName.RUN_FAILED,
                        EventKey.RUN,
                        report.run(),
                        EventKey.NODE,
                        view == null ? "" : view.node(),
                        EventKey.FAILURES,
                        task.failures(),
                        EventKey.ALLOWED,
                        job.policy().maximumAttempts());
        if (view != null) {
            countFailure(task, view);
        }
        if (task.failures() >= job.policy().maximumAttempts()) {
            jobs.finish(job, JobState.FAILED);
            stopAllRuns(job);
        } else if (current) {
            requeue(task, "failed");
        }
    }

    private void handleStall(OwnedTask task, SidecarView view) {
        if (view == null || task.isWithdrawn()) {
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
        task.markWithdrawn();
        task.failedNodes().add(view.node());
        countFailure(task, view);
        links.send(task.sidecar(), new JobFrame.Withdraw(task.currentRun()));
    }

    private void countFailure(OwnedTask task, SidecarView view) {
        if (view.recordFailure(task.identity().job()) >= EJECTION_FAILURES) {
            view.eject(loop.monotonicMilliseconds() + EJECTION_MILLISECONDS);
            loop.log()
                    .event(
                            EventName.EJECTED,
                            EventKey.NODE,
                            view.node(),
                            EventKey.JOB,
                            task.identity().job());
            loop.log().count("ejected");
        }
    }

    private void requeue(OwnedTask task, String cause) {
        if (!task.isIn(OwnedTask.Phase.SENT) || task.job().finalState() != null) {
            return;
        }
        loop.log().event(EventName.AGAIN, EventKey.RUN, task.currentRun(), EventKey.CAUSE, cause);
        loop.log().count("again");
        backlog.add(task, loop.monotonicMilliseconds());
        schedulePlacement();
    }

    void stopAllRuns(OwnedJob job) {
        for (OwnedTask task : job.tasks()) {
            if (task.isIn(OwnedTask.Phase.SENT)) {
                links.send(task.sidecar(), new JobFrame.Withdraw(task.currentRun()));
            }
        }
    }

    /** Requeues the tasks of lost sidecars, abandons jobs that are too late, and sends waiting tasks. */
    void tick() {
        long now = loop.monotonicMilliseconds();
        for (OwnedJob job : List.copyOf(jobs.owned())) {
            for (OwnedTask task : job.tasks()) {
                if (task.isIn(OwnedTask.Phase.SENT)) {
                    requeueIfSidecarLost(task, now);
                }
            }
        }
        abandonTooLate(now);
        sidecars.values().removeIf(view -> !view.isLinked() && now - view.lastLeaseAt() > 4 * RUN_EXPIRY_MILLISECONDS);
        placeWaitingTasks();
    }

    /** Abandons jobs that are not stored, of which no task was sent, and that cannot complete while a caller waits. */
    private void abandonTooLate(long now) {
        for (OwnedJob job : List.copyOf(jobs.owned())) {
            long usefulUntil = job.arrivedAt() + OwnedJob.LATE_FACTOR * job.objectiveMilliseconds();
            if (!job.plan().durable() && !job.wasSent() && now + job.plan().criticalPathMilliseconds() > usefulUntil) {
                jobs.abandon(job.identity(), "too-late");
            }
        }
    }

    private void requeueIfSidecarLost(OwnedTask task, long now) {
        SidecarView view = sidecars.get(task.sidecar());
        long runExpiry = task.job().plan().durable() ? RUN_EXPIRY_MILLISECONDS : TRANSIENT_RUN_EXPIRY_MILLISECONDS;
        if (view == null || !view.isLinked() && now - view.lastLeaseAt() > runExpiry) {
            requeue(task, "sidecar-lost");
        }
    }

    /** Forgets all tasks and sidecars, because other entries own the jobs now. */
    void clear() {
        backlog.clear();
        sidecars.clear();
    }
}
