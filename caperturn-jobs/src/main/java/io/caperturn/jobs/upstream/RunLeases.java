package io.caperturn.jobs.upstream;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.upstream.LocalRun.Phase;
import java.util.List;
import java.util.Map;

/**
 * Leases of the runs at a sidecar: until when each may continue, and how far the lease of the upstream may be extended.
 *
 * <p>The upstream has one lease for all its runs. It is extended only as far as each active run is allowed to continue,
 * so that no run outlives the lease of its owner (the entry that dispatched it last) if this process is killed or
 * suspended, or if an order to stop the run is carried out late. All times are in milliseconds of the loop's clock.
 */
final class RunLeases {
    /**
     * Time from the expiry of a run's lease, when its stop is ordered, until the upstream's lease expires too, in
     * milliseconds. It covers the stop and its listing, after which the lease is extended for the other runs.
     */
    static final long STOP_MARGIN_MILLISECONDS = 200;
    /**
     * Time for which a run of an earlier incarnation of this process waits to be claimed, in milliseconds: its owner
     * claims it as soon as it has received the first inventory.
     */
    private static final long CLAIM_MILLISECONDS = 150;

    private static final long EXPIRED = Long.MIN_VALUE / 2;

    private final DecisionLoop loop;
    private final SidecarTimings timings;
    private final RunRegistry registry;
    private final Map<String, OwnerLease> owners;

    RunLeases(DecisionLoop loop, SidecarTimings timings, RunRegistry registry, Map<String, OwnerLease> owners) {
        this.loop = loop;
        this.timings = timings;
        this.registry = registry;
        this.owners = owners;
    }

    /** Returns until when a run may continue; its stop is ordered then. */
    long expiryOf(LocalRun run) {
        return switch (run.claim()) {
            case RunClaim.Held held ->
                owners.containsKey(run.owner()) ? owners.get(run.owner()).expiryFor(run) : EXPIRED;
            case RunClaim.Expiring expiring -> expiring.continuesUntil();
            case RunClaim.Found found -> found.claimExpectedBy();
        };
    }

    /** Returns until when the lease of the upstream may be extended; far in the past if not at all. */
    long latestUpstreamExpiry() {
        long latest = Long.MAX_VALUE / 2;
        for (LocalRun run : registry.allRuns()) {
            if (run.isActive()) {
                latest = Math.min(latest, latestUpstreamExpiryFor(run));
            }
        }
        return latest;
    }

    private long latestUpstreamExpiryFor(LocalRun run) {
        return run.isStopRequested() || run.claim() instanceof RunClaim.Found
                ? EXPIRED
                : expiryOf(run) + STOP_MARGIN_MILLISECONDS;
    }

    /** Returns whether the owner of a queued run is entitled to its start now. */
    boolean isStartAllowed(LocalRun run) {
        OwnerLease owner = owners.get(run.owner());
        return owner != null
                && run.claim() instanceof RunClaim.Held
                && owner.isStartAllowed(run, loop.monotonicMilliseconds());
    }

    /**
     * Ends the claims of an entry that opens a link, so that renewals over it apply only to what it dispatches again.
     */
    void endClaimsOf(OwnerLease owner) {
        for (LocalRun run : registry.allRuns()) {
            if (run.owner().equals(owner.incarnation())
                    && !run.isInPhase(Phase.ENDED)
                    && run.claim() instanceof RunClaim.Held) {
                endClaim(run, expiryOf(run), "link-opened");
            }
        }
    }

    /** Ends the claim of a lost owner on a run of a stored job, which another entry claims if it adopts the job. */
    void endClaimOfLostOwner(LocalRun run) {
        endClaim(run, loop.monotonicMilliseconds() + timings.ownerLeaseOnStoredRunsMilliseconds(), "owner-lost");
    }

    private void endClaim(LocalRun run, long continuesUntil, String cause) {
        run.setClaim(new RunClaim.Expiring(continuesUntil));
        loop.log()
                .event(
                        EventName.CLAIM_ENDED,
                        EventKey.RUN,
                        run.identity(),
                        EventKey.OWNER,
                        run.owner(),
                        EventKey.CAUSE,
                        cause,
                        EventKey.SLACK,
                        Math.max(0, continuesUntil - loop.monotonicMilliseconds()));
    }

    /**
     * Returns the claim on a run that the upstream lists and this process did not start.
     *
     * @param claimExpected whether entries are about to be told of the run, so that its owner can claim it
     */
    RunClaim claimOnFoundRun(boolean claimExpected) {
        return new RunClaim.Found(loop.monotonicMilliseconds() + (claimExpected ? CLAIM_MILLISECONDS : 0));
    }

    /** Expires all leases after a suspension of this process, as they may be older than its clock shows. */
    void expireAll() {
        owners.values().forEach(OwnerLease::expire);
        for (LocalRun run : List.copyOf(registry.allRuns())) {
            if (run.claim() instanceof RunClaim.Expiring) {
                run.setClaim(new RunClaim.Expiring(EXPIRED));
            }
        }
    }
}
