package io.caperturn.jobs.owner;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.DecisionLoop;
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

/** Dispatcher of the tasks of an entry's jobs: sends them to sidecars, follows their runs, and sends them again. */
final class Dispatcher {
    /** Refusals after which a round of placing ends: those behind are no more likely to fit. */
    private static final int MOST_REFUSALS = 6;
    /** Failures of different jobs in a row after which an upstream gets no more tasks. */
    private static final int FAILURES_TO_EJECT = 3;
    /** Time until an ejected upstream gets a single task as a probe, in milliseconds. */
    private static final long EJECTION_MILLISECONDS = 2_000;
    /** Lease of an upstream, with its drift, the time that a stop takes, and a margin, in milliseconds. */
    private static final long LAPSE_MILLISECONDS = 1_500;
    /** Time after the last sign of life to a sidecar after which nothing that it was sent runs, in milliseconds. */
    static final long WRITE_OFF_MILLISECONDS = SidecarTimings.RUN_AUTHORITY_MILLISECONDS + LAPSE_MILLISECONDS;
    /** The same for jobs that are not stored. */
    private static final long TRANSIENT_WRITE_OFF_MILLISECONDS =
            SidecarTimings.TRANSIENT_AUTHORITY_MILLISECONDS + LAPSE_MILLISECONDS;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final JobKeeper jobs;
    private final DurationModel durations = new DurationModel();
    private final Placement placement = new Placement(durations);
    private final WaitingTasks waiting = new WaitingTasks();
    private final Map<String, SidecarView> sidecars = new HashMap<>();
    private boolean placing;
    private long lastNewSidecar;

    Dispatcher(DecisionLoop loop, LinkPort links, JobKeeper jobs) {
        this.loop = loop;
        this.links = links;
        this.jobs = jobs;
        this.lastNewSidecar = loop.monotonicMilliseconds();
    }

    Collection<SidecarView> sidecars() {
        return sidecars.values();
    }

    DurationModel durations() {
        return durations;
    }

    /** Tells when a sidecar that was not known before last came. */
    long lastNewSidecar() {
        return lastNewSidecar;
    }

    WaitingTasks waiting() {
        return waiting;
    }

    void linked(String node, String incarnation) {
        SidecarView view = sidecars.computeIfAbsent(incarnation, key -> {
            lastNewSidecar = loop.monotonicMilliseconds();
            return new SidecarView(node, key);
        });
        view.relinked();
    }

    void unlinked(String incarnation) {
        SidecarView view = sidecars.get(incarnation);
        if (view != null) {
            view.linked(false);
        }
    }

    void status(String incarnation, JobFrame.Status status, boolean authority) {
        SidecarView view = sidecars.get(incarnation);
        if (view == null) {
            return;
        }
        view.update(status, loop.monotonicMilliseconds());
        links.send(incarnation, new JobFrame.Lease(status.renewal(), authority));
        placeSoon();
    }

    /** Puts the tasks of a job that can start among those that wait. */
    void ready(OwnedJob job) {
        placement.seen(job.policy().urgency(), loop.monotonicMilliseconds());
        for (OwnedTask task : job.tasks()) {
            if (task.isIn(OwnedTask.Phase.BLOCKED) && job.isReady(task.step())) {
                waiting.add(task, loop.monotonicMilliseconds());
            }
        }
        place();
    }

    /** Notes that a run of a recovered job is at a sidecar, and claims it there. */
    void attach(OwnedTask task, RunIdentity run, String incarnation) {
        SidecarView view = sidecars.get(incarnation);
        long expected = durations.predict(
                task.job().policy().name(), view.node(), task.step().estimatedMilliseconds());
        task.attach(incarnation, run.number(), loop.monotonicMilliseconds(), expected);
        send(task, view, expected);
    }

    /** Sends waiting tasks to where they fit. */
    void place() {
        placing = false;
        if (!waiting.isEmpty()) {
            waiting.offer(this::dispatch, loop.monotonicMilliseconds(), MOST_REFUSALS);
        }
    }

    private void placeSoon() {
        if (!placing && !waiting.isEmpty()) {
            placing = true;
            loop.after(0, this::place);
        }
    }

    private boolean dispatch(OwnedTask task) {
        Optional<Placement.Choice> choice = placement.choose(task, sidecars.values(), loop.monotonicMilliseconds());
        if (choice.isEmpty()) {
            return false;
        }
        SidecarView view = choice.get().sidecar();
        if (view.isOnProbation()) {
            view.probe();
        }
        task.send(view.incarnation(), loop.monotonicMilliseconds(), choice.get().expectedMilliseconds());
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
                        loop.monotonicMilliseconds() - view.lastLease(),
                        EventKey.EXPECTED,
                        task.expected());
        send(task, view, choice.get().expectedMilliseconds());
        return true;
    }

    private void send(OwnedTask task, SidecarView view, long expected) {
        StepPlan step = task.step();
        long sequence = view.nextSequence(step.need(), step.need().processorMillis() * expected);
        long slack = WaitingTasks.latestStart(task, loop.monotonicMilliseconds()) - loop.monotonicMilliseconds();
        task.sentAs(view.links(), sequence);
        links.send(
                view.incarnation(),
                new JobFrame.Dispatch(
                        sequence,
                        task.currentRun(),
                        task.job().plan().payload(),
                        step.need(),
                        expected,
                        slack,
                        task.job().policy().urgency(),
                        task.job().plan().durable()));
    }

    /** Takes all that a sidecar knows: what it doesn't know of never starts there. */
    void inventory(String incarnation, JobFrame.Inventory inventory) {
        SidecarView view = sidecars.get(incarnation);
        if (view == null) {
            return;
        }
        Map<RunIdentity, JobFrame.Report> known = new HashMap<>();
        inventory.runs().forEach(report -> known.put(report.run(), report));
        for (OwnedJob job : List.copyOf(jobs.owned())) {
            for (OwnedTask task : job.tasks()) {
                if (task.isIn(OwnedTask.Phase.SENT) && isAt(task, view)) {
                    confirm(task, view, known.remove(task.currentRun()), inventory);
                }
            }
        }
        known.values().forEach(report -> report(incarnation, report));
    }

    private boolean isAt(OwnedTask task, SidecarView view) {
        SidecarView at = sidecars.get(task.sidecar());
        return task.sidecar().equals(view.incarnation())
                || at != null && at.node().equals(view.node());
    }

    private void confirm(OwnedTask task, SidecarView view, JobFrame.Report report, JobFrame.Inventory inventory) {
        if (report == null) {
            boolean sameLife = task.sidecar().equals(view.incarnation());
            if (sameLife ? task.wasSentBy(view.links(), inventory.dispatchesSeen()) : inventory.complete()) {
                again(task, "not-in-inventory");
            }
        } else if (report.outcome().isFinished()) {
            report(view.incarnation(), report);
        } else {
            attach(task, report.run(), view.incarnation());
        }
    }

    /** Takes news of a run. */
    void report(String incarnation, JobFrame.Report report) {
        RunIdentity run = report.run();
        OwnedJob job = jobs.find(run.task().job());
        OwnedTask task = job == null ? null : job.task(run.task());
        if (task == null) {
            if (report.outcome().isRecorded() && jobs.closedState(run.task().job()) != null) {
                links.send(incarnation, new JobFrame.Settled(run));
            }
            return;
        }
        SidecarView view = sidecars.get(incarnation);
        task.sawRun(run.number());
        boolean current = task.isIn(OwnedTask.Phase.SENT) && run.equals(task.currentRun());
        switch (report.outcome()) {
            case QUEUED -> {}
            case RUNNING -> {
                job.started();
                if (current && report.reason().equals(JobFrame.Report.STANDS_STILL)) {
                    standsStill(task, view);
                }
            }
            case DONE -> done(task, incarnation, report, current);
            case FAILED -> failed(task, incarnation, report, current);
            case STOPPED, LAPSED, REFUSED -> {
                if (view != null) {
                    view.undecided();
                }
                if (current) {
                    if (view != null && report.reason().equals(JobFrame.Report.NO_ROOM)) {
                        view.refusedForRoom();
                    } else if (view != null && report.reason().equals("unhealthy")) {
                        countFailure(task, view);
                    }
                    again(task, report.outcome() + "-" + report.reason());
                }
            }
        }
    }

    private void done(OwnedTask task, String incarnation, JobFrame.Report report, boolean current) {
        SidecarView view = sidecars.get(incarnation);
        OwnedJob job = task.job();
        if (view != null) {
            view.succeeded();
            durations.ended(
                    job.policy().name(), view.node(), task.step().estimatedMilliseconds(), report.runMilliseconds());
        }
        job.started();
        if (task.isIn(OwnedTask.Phase.DONE)) {
            jobs.ended(job, report.run(), incarnation);
            return;
        }
        if (!current && task.isIn(OwnedTask.Phase.SENT)) {
            links.send(task.sidecar(), new JobFrame.Withdraw(task.currentRun()));
        }
        task.enter(OwnedTask.Phase.DONE);
        jobs.ended(job, report.run(), incarnation);
        if (job.isAllDone()) {
            jobs.finish(job, JobState.COMPLETED);
        } else if (!job.isRecovering()) {
            ready(job);
        }
    }

    private void failed(OwnedTask task, String incarnation, JobFrame.Report report, boolean current) {
        SidecarView view = sidecars.get(incarnation);
        OwnedJob job = task.job();
        job.started();
        jobs.ended(job, report.run(), incarnation);
        if (!task.failed(report.run().number(), view == null ? "" : view.node())) {
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
            withdrawAll(job);
        } else if (current) {
            again(task, "failed");
        }
    }

    private void standsStill(OwnedTask task, SidecarView view) {
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
        task.withdraw();
        task.failedAt().add(view.node());
        countFailure(task, view);
        links.send(task.sidecar(), new JobFrame.Withdraw(task.currentRun()));
    }

    private void countFailure(OwnedTask task, SidecarView view) {
        if (view.failed(task.identity().job()) >= FAILURES_TO_EJECT) {
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

    private void again(OwnedTask task, String cause) {
        if (!task.isIn(OwnedTask.Phase.SENT) || task.job().wanted() != null) {
            return;
        }
        loop.log().event(EventName.AGAIN, EventKey.RUN, task.currentRun(), EventKey.CAUSE, cause);
        loop.log().count("again");
        waiting.add(task, loop.monotonicMilliseconds());
        placeSoon();
    }

    /** Stops all runs of a job. */
    void withdrawAll(OwnedJob job) {
        for (OwnedTask task : job.tasks()) {
            if (task.isIn(OwnedTask.Phase.SENT)) {
                links.send(task.sidecar(), new JobFrame.Withdraw(task.currentRun()));
            }
        }
    }

    /** Looks for sidecars that are lost and for runs that stand still. */
    void tick() {
        long now = loop.monotonicMilliseconds();
        for (OwnedJob job : List.copyOf(jobs.owned())) {
            for (OwnedTask task : job.tasks()) {
                if (task.isIn(OwnedTask.Phase.SENT)) {
                    look(task, now);
                }
            }
        }
        giveUpHopeless(now);
        sidecars.values().removeIf(view -> !view.isLinked() && now - view.lastLease() > 4 * WRITE_OFF_MILLISECONDS);
        place();
    }

    /** Answers callers at once whose job has not begun and can't end in any useful time. */
    private void giveUpHopeless(long now) {
        for (OwnedJob job : List.copyOf(jobs.owned())) {
            long useless = job.arrivedAt() + OwnedJob.LATE_FACTOR * job.objective();
            if (!job.plan().durable() && !job.wasSent() && now + job.plan().criticalPathMilliseconds() > useless) {
                jobs.abandon(job.identity(), "too-late");
            }
        }
    }

    private void look(OwnedTask task, long now) {
        SidecarView view = sidecars.get(task.sidecar());
        long writeOff = task.job().plan().durable() ? WRITE_OFF_MILLISECONDS : TRANSIENT_WRITE_OFF_MILLISECONDS;
        if (view == null || !view.isLinked() && now - view.lastLease() > writeOff) {
            again(task, "sidecar-lost");
        }
    }

    /** Forgets all tasks, because their jobs belong to others now. */
    void clear() {
        waiting.clear();
        sidecars.clear();
    }
}
