package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.message.MemberRecord;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.RunIdentity;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Recovery of the jobs of one lost entry. An entry is a process that accepts jobs and sends their tasks to sidecars,
 * the processes beside the upstreams that run tasks; a run is one attempt to run a task.
 *
 * <p>Every sidecar is told to accept nothing more from the lost entry, and answers with an inventory: a list of the
 * runs that it knows. A task of which no sidecar knows a run was never started, or its run has finished. If a sidecar
 * does not answer, the recovery waits until the runs of the lost entry must have been stopped there.
 */
final class LostEntryRecovery {
    /** Interval at which the request to sidecars that have not answered is repeated, in milliseconds. */
    private static final long REQUEST_INTERVAL_MILLISECONDS = 250;
    /**
     * Time after the start of the recovery by which every run of the lost entry has stopped, in milliseconds. That
     * entry renews its lease on the runs until it knows of its loss, at most for the first term; the runs stop within
     * the second one.
     */
    private static final long TIMEOUT_MILLISECONDS =
            ProcessMembership.ENTRY_TIMEOUT_MILLISECONDS + RunLossDetector.RUN_EXPIRY_MILLISECONDS;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final ProcessMembership membership;
    private final TaskDispatcher dispatcher;
    private final OwnedJobRepository jobs;
    private final String lostEntry;
    private final long startedAt;
    private final Set<String> answeredSidecars = new HashSet<>();
    private final Map<RunIdentity, ListedRun> listedRuns = new HashMap<>();
    private final List<OwnedJob> adoptedJobs = new ArrayList<>();
    private boolean complete;

    LostEntryRecovery(
            DecisionLoop loop,
            LinkPort links,
            ProcessMembership membership,
            TaskDispatcher dispatcher,
            OwnedJobRepository jobs,
            String lostEntry) {
        this.loop = loop;
        this.links = links;
        this.membership = membership;
        this.dispatcher = dispatcher;
        this.jobs = jobs;
        this.lostEntry = lostEntry;
        this.startedAt = loop.monotonicMilliseconds();
    }

    /** Run that a sidecar has listed in its inventory. */
    private record ListedRun(String sidecarIncarnation, JobFrame.Report report) {
        /** Returns which of two reports on the same run to keep: the one that tells most of its end. */
        ListedRun merge(ListedRun other) {
            return rank() >= other.rank() ? this : other;
        }

        private int rank() {
            return switch (report.outcome()) {
                case DONE -> 4;
                case FAILED -> 3;
                case STOPPED, LAPSED, REFUSED -> 2;
                case RUNNING -> 1;
                case QUEUED -> 0;
            };
        }
    }

    void start() {
        loop.log().event(EventName.RECOVERY, EventKey.OWNER, lostEntry);
        requestInventories();
    }

    boolean isComplete() {
        return complete;
    }

    private void requestInventories() {
        if (complete) {
            return;
        }
        boolean allAnswered = true;
        for (MemberRecord sidecar : membership.membersWithRole(ProcessRole.SIDECAR)) {
            if (!answeredSidecars.contains(sidecar.incarnation())) {
                allAnswered = false;
                links.send(sidecar.incarnation(), new JobFrame.FenceOwner(lostEntry));
            }
        }
        if (allAnswered || loop.monotonicMilliseconds() - startedAt > TIMEOUT_MILLISECONDS) {
            complete();
        } else {
            loop.after(REQUEST_INTERVAL_MILLISECONDS, this::requestInventories);
        }
    }

    /**
     * Records the answer of a sidecar; an incomplete inventory, which lacks the upstream's own list of runs, is
     * ignored.
     */
    void handleInventory(String sidecar, JobFrame.Inventory inventory) {
        if (complete || !inventory.complete()) {
            return;
        }
        answeredSidecars.add(sidecar);
        inventory
                .runs()
                .forEach(report -> listedRuns.merge(
                        report.run(), new ListedRun(sidecar, report), (old, received) -> old.merge(received)));
        boolean allAnswered = membership.membersWithRole(ProcessRole.SIDECAR).stream()
                .allMatch(member -> answeredSidecars.contains(member.incarnation()));
        if (allAnswered) {
            complete();
        }
    }

    /** Adds a job of the lost entry that this entry now owns; its tasks are enqueued once the recovery is complete. */
    void addJob(OwnedJob job) {
        if (complete) {
            restoreRuns(job);
        } else {
            job.setRecovering(true);
            adoptedJobs.add(job);
        }
    }

    private void complete() {
        complete = true;
        loop.log()
                .event(
                        EventName.RECOVERED,
                        EventKey.OWNER,
                        lostEntry,
                        EventKey.JOBS,
                        adoptedJobs.size(),
                        EventKey.TOOK,
                        loop.monotonicMilliseconds() - startedAt,
                        EventKey.SIDECARS,
                        answeredSidecars.size());
        adoptedJobs.forEach(this::restoreRuns);
        adoptedJobs.clear();
    }

    /**
     * Applies the listed runs of an adopted job to its tasks, and enqueues the tasks without a run. If the job was
     * cancelled meanwhile, its active runs are stopped; if it has another owner by now, nothing is done.
     */
    private void restoreRuns(OwnedJob job) {
        if (job.finalState() == null && jobs.find(job.identity()) != job) {
            return;
        }
        job.setRecovering(true);
        // The ends come first, so that what counts under a task is known before a run of it is taken over.
        List<ListedRun> runsOfJob = listedRuns.values().stream()
                .filter(listed -> listed.report().run().task().job().equals(job.identity()))
                .filter(listed -> job.findTask(listed.report().run().task()) != null)
                .sorted(Comparator.comparing(
                                (ListedRun listed) -> !listed.report().outcome().isFinished())
                        .thenComparing(listed -> -listed.report().run().number()))
                .toList();
        runsOfJob.forEach(
                listed -> restoreRun(job, job.findTask(listed.report().run().task()), listed));
        job.setRecovering(false);
        if (job.finalState() == null) {
            dispatcher.enqueueReadyTasks(job);
        }
    }

    /** Applies a listed run to its task; of several active ones, the task keeps the first that is applied. */
    private void restoreRun(OwnedJob job, OwnedTask task, ListedRun listed) {
        RunIdentity run = listed.report().run();
        if (listed.report().outcome().isFinished()) {
            dispatcher.handleReport(listed.sidecarIncarnation(), listed.report());
        } else if (job.finalState() != null) {
            dispatcher.withdraw(run, listed.sidecarIncarnation(), "job-over");
        } else if (task.isIn(OwnedTask.Phase.DONE)) {
            dispatcher.withdraw(run, listed.sidecarIncarnation(), "other-run-done");
        } else if (!task.isIn(OwnedTask.Phase.SENT)) {
            job.markStarted();
            dispatcher.takeOverRun(task, run, listed.sidecarIncarnation());
        } else if (!run.equals(task.currentRun())) {
            dispatcher.withdraw(run, listed.sidecarIncarnation(), "superseded");
        }
    }
}
