package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.upstream.LocalRun.Phase;
import java.util.List;
import java.util.Map;

/** End of runs whose lease has expired: queued ones are refused, and active ones are stopped. */
final class LeaseExpiry {
    private final DecisionLoop loop;
    private final RunRegistry registry;
    private final RunLeases leases;
    private final Map<String, OwnerLease> owners;
    private final UpstreamController upstreamController;
    private final OwnerReports reports;
    private final StatusSender statusSender;

    LeaseExpiry(
            DecisionLoop loop,
            RunRegistry registry,
            RunLeases leases,
            Map<String, OwnerLease> owners,
            UpstreamController upstreamController,
            OwnerReports reports,
            StatusSender statusSender) {
        this.loop = loop;
        this.registry = registry;
        this.leases = leases;
        this.owners = owners;
        this.upstreamController = upstreamController;
        this.reports = reports;
        this.statusSender = statusSender;
    }

    /**
     * Ends the runs whose lease has expired. If another one expires before the next periodic call, calls itself then:
     * the stop has to be carried out before the lease of the upstream expires for all its runs.
     *
     * @param nextCallAt time of the next periodic call, in milliseconds of the loop's clock
     */
    void endExpiredRuns(long nextCallAt) {
        long now = loop.monotonicMilliseconds();
        long nextExpiry = Long.MAX_VALUE;
        for (LocalRun run : List.copyOf(registry.allRuns())) {
            if (run.isInPhase(Phase.ENDED) || run.isStopRequested()) {
                continue;
            }
            long expiry = leases.expiryOf(run);
            if (now >= expiry) {
                end(run, now);
            } else {
                nextExpiry = Math.min(nextExpiry, expiry);
            }
        }
        if (nextExpiry < nextCallAt) {
            loop.after(nextExpiry - now, () -> endExpiredRuns(nextCallAt));
        }
    }

    private void end(LocalRun run, long now) {
        String cause = switch (run.claim()) {
            case RunClaim.Held held -> "owner-silent";
            case RunClaim.Expiring expiring -> "claim-ended";
            case RunClaim.Found found -> "not-claimed";
        };
        OwnerLease owner = owners.get(run.owner());
        loop.log()
                .event(
                        EventName.LEASE_EXPIRED,
                        EventKey.RUN,
                        run.identity(),
                        EventKey.OWNER,
                        run.owner(),
                        EventKey.CAUSE,
                        cause,
                        EventKey.PHASE,
                        run.phase(),
                        EventKey.SILENCE,
                        owner == null ? 0 : now - owner.confirmedAt());
        if (run.isInPhase(Phase.QUEUED)) {
            registry.finish(run, RunOutcome.REFUSED, cause, /* completionNumber= */ 0, now);
            reports.report(run);
            statusSender.scheduleStatus();
        } else {
            upstreamController.withdraw(run, cause);
        }
    }
}
