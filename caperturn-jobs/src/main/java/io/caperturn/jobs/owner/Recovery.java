package io.caperturn.jobs.owner;

import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.DecisionLoop;
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
 * <p>Every sidecar is told to take nothing more from the lost entry and says what it knows of runs. A task that none of
 * them knows was never started, or its run has ended. A sidecar that doesn't answer is waited for until its runs for
 * the lost entry must have lapsed.
 */
final class Recovery {
    /** Interval at which sidecars that haven't answered are asked again, in milliseconds. */
    private static final long ASK_MILLISECONDS = 250;
    /** Time after the loss at which nothing runs in the lost entry's name any more, in milliseconds. */
    private static final long LONGEST_MILLISECONDS =
            Membership.SILENCE_MILLISECONDS + Dispatcher.WRITE_OFF_MILLISECONDS;

    private final DecisionLoop loop;
    private final LinkPort links;
    private final Membership membership;
    private final Dispatcher dispatcher;
    private final String lost;
    private final long since;
    private final Set<String> answered = new HashSet<>();
    private final Map<RunIdentity, Found> found = new HashMap<>();
    private final List<OwnedJob> jobs = new ArrayList<>();
    private boolean complete;

    Recovery(DecisionLoop loop, LinkPort links, Membership membership, Dispatcher dispatcher, String lost) {
        this.loop = loop;
        this.links = links;
        this.membership = membership;
        this.dispatcher = dispatcher;
        this.lost = lost;
        this.since = loop.monotonicMilliseconds();
    }

    private record Found(String sidecar, JobFrame.Report report) {}

    void start() {
        loop.log().event(EventName.RECOVERY, EventKey.OWNER, lost);
        ask();
    }

    boolean isComplete() {
        return complete;
    }

    private void ask() {
        if (complete) {
            return;
        }
        boolean all = true;
        for (MemberRecord sidecar : membership.of(ProcessRole.SIDECAR)) {
            if (!answered.contains(sidecar.incarnation())) {
                all = false;
                links.send(sidecar.incarnation(), new JobFrame.FenceOwner(lost));
            }
        }
        if (all || loop.monotonicMilliseconds() - since > LONGEST_MILLISECONDS) {
            complete();
        } else {
            loop.after(ASK_MILLISECONDS, this::ask);
        }
    }

    void answered(String sidecar, JobFrame.Inventory inventory) {
        if (complete || !inventory.complete()) {
            return;
        }
        answered.add(sidecar);
        inventory
                .runs()
                .forEach(report -> found.merge(
                        report.run(),
                        new Found(sidecar, report),
                        (old, news) -> old.report().outcome().isFinished() ? old : news));
        boolean all =
                membership.of(ProcessRole.SIDECAR).stream().allMatch(member -> answered.contains(member.incarnation()));
        if (all) {
            complete();
        }
    }

    /** Takes a job of the lost entry that this entry now owns. */
    void adopted(OwnedJob job) {
        if (complete) {
            resolve(job);
        } else {
            job.recovering(true);
            jobs.add(job);
        }
    }

    private void complete() {
        complete = true;
        loop.log()
                .event(
                        EventName.RECOVERED,
                        EventKey.OWNER,
                        lost,
                        EventKey.JOBS,
                        jobs.size(),
                        EventKey.TOOK,
                        loop.monotonicMilliseconds() - since,
                        EventKey.SIDECARS,
                        answered.size());
        jobs.forEach(this::resolve);
        jobs.clear();
    }

    private void resolve(OwnedJob job) {
        job.recovering(true);
        for (Map.Entry<RunIdentity, Found> entry : found.entrySet()) {
            RunIdentity run = entry.getKey();
            if (!run.task().job().equals(job.identity())) {
                continue;
            }
            OwnedTask task = job.task(run.task());
            if (task == null) {
                continue;
            }
            Found known = entry.getValue();
            if (known.report().outcome().isFinished()) {
                dispatcher.report(known.sidecar(), known.report());
            } else if (!task.isIn(OwnedTask.Phase.DONE)) {
                job.started();
                dispatcher.attach(task, run, known.sidecar());
            }
        }
        job.recovering(false);
        if (job.wanted() == null) {
            dispatcher.ready(job);
        }
    }
}
