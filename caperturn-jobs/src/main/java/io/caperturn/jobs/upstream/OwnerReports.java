package io.caperturn.jobs.upstream;

import io.caperturn.jobs.LinkPort;
import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import java.util.Map;
import java.util.Optional;

/** Reports of a sidecar on runs, to their owners: the entry processes that dispatched them last. */
final class OwnerReports {
    private final LinkPort links;
    private final Map<String, OwnerLease> owners;
    private final StatusSender statusSender;

    OwnerReports(LinkPort links, Map<String, OwnerLease> owners, StatusSender statusSender) {
        this.links = links;
        this.owners = owners;
        this.statusSender = statusSender;
    }

    /** Reports the present state of a run, unless it has no owner. */
    void report(LocalRun run) {
        if (!run.owner().isEmpty()) {
            Optional<JobFrame.Room> room = Optional.ofNullable(owners.get(run.owner()))
                    .flatMap(owner -> statusSender.tellRoom(owner, run.outcome(), run.reason()));
            links.send(
                    run.owner(),
                    new JobFrame.Report(run.identity(), run.outcome(), run.runMilliseconds(), run.reason(), room));
        }
    }

    /** Reports the outcome of a run that this process does not keep. */
    void reportOutcome(OwnerLease owner, RunIdentity run, RunOutcome outcome, String reason) {
        links.send(
                owner.incarnation(),
                new JobFrame.Report(
                        run, outcome, /* runMilliseconds= */ 0, reason, statusSender.tellRoom(owner, outcome, reason)));
    }

    /** Reports that an active run has made no progress for too long. */
    void reportStall(LocalRun run) {
        links.send(
                run.owner(), new JobFrame.Report(run.identity(), RunOutcome.RUNNING, 0, JobFrame.Report.STANDS_STILL));
    }

    /** Reports that the upstream may have crashed under a run that was reported as lapsed for its silence. */
    void reportCrashAfterLapse(LocalRun run) {
        links.send(
                run.owner(),
                new JobFrame.Report(
                        run.identity(), RunOutcome.LAPSED, 0, JobFrame.Report.UPSTREAM_CRASHED_UNCONFIRMED));
    }

    /** Reports that the upstream had not crashed under a run that was reported as lost in a crash. */
    void reportCrashRetracted(LocalRun run) {
        links.send(
                run.owner(),
                new JobFrame.Report(run.identity(), RunOutcome.LAPSED, 0, JobFrame.Report.CRASH_RETRACTED));
    }
}
