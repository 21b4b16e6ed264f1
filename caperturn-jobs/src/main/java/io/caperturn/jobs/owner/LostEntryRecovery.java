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
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Recovery of the jobs of one lost entry.
 *
 * <p>Every sidecar is told to accept nothing more from the lost entry, and answers with an inventory of the runs it
 * knows. A task of which no sidecar knows a run was never started, or its run has ended. If a sidecar does not answer,
 * the recovery waits until the runs of the lost entry must have expired there.
 */
final class LostEntryRecovery {
    /** Interval at which sidecars that have not answered are asked again, in milliseconds. */
    private static final long REQUEST_INTERVAL_MILLISECONDS = 250;
    /** Time after the loss by which no run of the lost entry is active any more, in milliseconds. */
    private static final long TIMEOUT_MILLISECONDS =
            ProcessMembership.ENTRY_TIMEOUT_MILLISECONDS + TaskDispatcher.RUN_EXPIRY_MILLISECONDS;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final ProcessMembership membership;
    private final TaskDispatcher dispatcher;
    private final String lostEntry;
    private final long startedAt;
    private final Set<String> answeredSidecars = new HashSet<>();
    private final Map<RunIdentity, KnownRun> knownRuns = new HashMap<>();
    private final List<OwnedJob> jobs = new ArrayList<>();
    private boolean complete;

    LostEntryRecovery(
            DecisionLoop loop,
            LinkPort links,
            ProcessMembership membership,
            TaskDispatcher dispatcher,
            String lostEntry) {
        this.loop = loop;
        this.links = links;
        this.membership = membership;
        this.dispatcher = dispatcher;
        this.lostEntry = lostEntry;
        this.startedAt = loop.monotonicMilliseconds();
    }

    /** Run that a sidecar has listed in its inventory. */
    private record KnownRun(String sidecar, JobFrame.Report report) {}

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

    void handleInventory(String sidecar, JobFrame.Inventory inventory) {
        if (complete || !inventory.complete()) {
            return;
        }
        answeredSidecars.add(sidecar);
        inventory
                .runs()
                .forEach(report -> knownRuns.merge(
                        report.run(),
                        new KnownRun(sidecar, report),
                        (old, received) -> old.report().outcome().isFinished() ? old : received));
        boolean allAnswered = membership.membersWithRole(ProcessRole.SIDECAR).stream()
                .allMatch(member -> answeredSidecars.contains(member.incarnation()));
        if (allAnswered) {
            complete();
        }
    }

    /** Adds a job of the lost entry that this entry now owns. */
    void addJob(OwnedJob job) {
        if (complete) {
            restoreRuns(job);
        } else {
            job.setRecovering(true);
            jobs.add(job);
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
                        jobs.size(),
                        EventKey.TOOK,
                        loop.monotonicMilliseconds() - startedAt,
                        EventKey.SIDECARS,
                        answeredSidecars.size());
        jobs.forEach(this::restoreRuns);
        jobs.clear();
    }

    /** Applies the known runs of an adopted job to its tasks, and enqueues its remaining tasks. */
    private void restoreRuns(OwnedJob job) {
        job.setRecovering(true);
        for (Map.Entry<RunIdentity, KnownRun> entry : knownRuns.entrySet()) {
            RunIdentity run = entry.getKey();
            if (!run.task().job().equals(job.identity())) {
                continue;
            }
            OwnedTask task = job.task(run.task());
            if (task == null) {
                continue;
            }
            KnownRun knownRun = entry.getValue();
            if (knownRun.report().outcome().isFinished()) {
                dispatcher.handleReport(knownRun.sidecar(), knownRun.report());
            } else if (!task.isIn(OwnedTask.Phase.DONE)) {
                job.markStarted();
                dispatcher.attach(task, run, knownRun.sidecar());
            }
        }
        job.setRecovering(false);
        if (job.finalState() == null) {
            dispatcher.enqueueReadyTasks(job);
        }
    }
}
