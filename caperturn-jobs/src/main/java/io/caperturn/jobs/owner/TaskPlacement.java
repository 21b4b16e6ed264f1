package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.interference.InterferenceCost;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.StepPlan;

/**
 * Placement of tasks: sends those that wait at this entry (process that accepts jobs) to sidecars, the processes beside
 * upstreams, in passes over the backlog.
 */
final class TaskPlacement {
    private final DecisionLoop loop;
    private final LinkPort links;
    private final SidecarDirectory sidecars;
    private final DurationModel durations;
    private final UpstreamSelector selector;
    private final RunningQueues runningQueues;
    private final TaskBacklog backlog = new TaskBacklog();
    private boolean passScheduled;

    TaskPlacement(
            DecisionLoop loop,
            LinkPort links,
            OwnedJobRepository jobs,
            SidecarDirectory sidecars,
            DurationModel durations,
            InterferenceCost interference) {
        this.loop = loop;
        this.links = links;
        this.sidecars = sidecars;
        this.durations = durations;
        this.selector = new UpstreamSelector(durations, interference, sidecars.confinement());
        this.runningQueues = new RunningQueues(loop, jobs, interference);
    }

    TaskBacklog backlog() {
        return backlog;
    }

    /** Returns the cost of interference with which a pass would begin now, as a copy. */
    InterferenceCost interferenceNow() {
        return runningQueues.refreshedCopy();
    }

    UpstreamSelector selector() {
        return selector;
    }

    void enqueueReadyTasks(OwnedJob job) {
        selector.recordArrival(job.policy(), loop.monotonicMilliseconds());
        for (OwnedTask task : job.tasks()) {
            if (task.isIn(OwnedTask.Phase.BLOCKED) && job.areDependenciesDone(task.step())) {
                backlog.add(task, loop.monotonicMilliseconds());
            }
        }
        placeWaitingTasks();
    }

    /** Takes over a run that a sidecar reported: dispatches it again there, which makes this entry its owner. */
    void takeOverRun(OwnedTask task, RunIdentity run, SidecarView view) {
        long expectedMilliseconds = durations.predictMilliseconds(
                task.job().policy().name(), view.node(), task.step().estimatedMilliseconds());
        task.setCurrentRun(view.incarnation(), run.number(), loop.monotonicMilliseconds(), expectedMilliseconds);
        send(task, view, expectedMilliseconds);
    }

    /** Puts a task that was sent back into the backlog, unless its job has finished. */
    void requeue(OwnedTask task, String cause) {
        if (!task.isIn(OwnedTask.Phase.SENT) || task.job().finalState() != null) {
            return;
        }
        loop.log().event(EventName.AGAIN, EventKey.RUN, task.currentRun(), EventKey.CAUSE, cause);
        loop.log().count("again");
        sidecars.find(task.sidecarIncarnation())
                .ifPresent(view -> view.setHealth(view.health().afterEnd(task.currentRun())));
        backlog.add(task, loop.monotonicMilliseconds());
        schedulePass();
    }

    void stopAllRuns(OwnedJob job) {
        for (OwnedTask task : job.tasks()) {
            if (task.isIn(OwnedTask.Phase.SENT)) {
                sidecars.withdraw(task.currentRun(), task.sidecarIncarnation(), "job-over");
            }
        }
    }

    /** Makes a pass over the backlog after the present event, unless one is due already. */
    void schedulePass() {
        if (!passScheduled && !backlog.isEmpty()) {
            passScheduled = true;
            loop.after(0, this::placeWaitingTasks);
        }
    }

    void placeWaitingTasks() {
        passScheduled = false;
        if (!backlog.isEmpty()) {
            runningQueues.refresh();
            backlog.offer(this::tryDispatch, loop.monotonicMilliseconds());
        }
    }

    private Selection tryDispatch(OwnedTask task) {
        Selection selection = selector.select(task, sidecars.views(), loop.monotonicMilliseconds());
        if (selection instanceof Selection.Chosen chosen) {
            dispatch(task, chosen);
        }
        return selection;
    }

    private void dispatch(OwnedTask task, Selection.Chosen chosen) {
        SidecarView view = chosen.sidecar();
        long expectedMilliseconds = chosen.cost().expectedRunMilliseconds();
        task.assignNextRun(view.incarnation(), loop.monotonicMilliseconds(), expectedMilliseconds);
        view.setHealth(view.health().afterDispatch(task.currentRun(), loop.monotonicMilliseconds()));
        loop.log()
                .event(
                        EventName.PLACED,
                        EventKey.RUN,
                        task.currentRun(),
                        EventKey.NODE,
                        view.node(),
                        EventKey.FREE,
                        view.freeResources().processorMillis(),
                        EventKey.STATUS_AGE,
                        loop.monotonicMilliseconds() - view.statusReceivedAt(),
                        EventKey.EXPECTED,
                        task.expectedRunMilliseconds());
        send(task, view, expectedMilliseconds);
    }

    /**
     * Takes the capacity for a run in the view of a sidecar, all of it for an exclusive one; returns the sequence
     * number of the dispatch.
     */
    static long takeCapacity(OwnedTask task, boolean exclusive, SidecarView view, long expectedMilliseconds, long now) {
        Resources resources = exclusive ? view.status().capacity() : task.step().resourcesPerTask();
        return view.recordDispatch(resources, resources.processorMillis() * expectedMilliseconds, now);
    }

    private void send(OwnedTask task, SidecarView view, long expectedMilliseconds) {
        StepPlan step = task.step();
        long sequence = takeCapacity(
                task, task.isCurrentRunExclusive(), view, expectedMilliseconds, loop.monotonicMilliseconds());
        long slackMilliseconds =
                TaskBacklog.latestStart(task, loop.monotonicMilliseconds()) - loop.monotonicMilliseconds();
        runningQueues.add(task);
        task.setDispatchPosition(view.currentLinkNumber(), sequence);
        task.setStartReportExpected(task.job().needsStartReport());
        links.send(
                view.incarnation(),
                new JobFrame.Dispatch(
                        sequence,
                        task.currentRun(),
                        task.job().plan().payload(),
                        step.resourcesPerTask(),
                        expectedMilliseconds,
                        slackMilliseconds,
                        task.job().policy().urgency(),
                        task.job().plan().durable(),
                        !task.isStartReportExpected(),
                        task.job().policy().name(),
                        task.isCurrentRunExclusive(),
                        view.upstreamNumber()));
    }
}
