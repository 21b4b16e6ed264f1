package io.caperturn.jobs.upstream;

import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.upstream.LocalRun.Phase;
import java.util.List;

/**
 * Discards runs that nobody needs any more: finished ones whose completion their owner (the entry that dispatched them
 * last) has received, and those of finished jobs, which are stopped if they are active.
 */
final class FinishedRuns {
    private final RunRegistry registry;
    private final UpstreamController upstreamController;

    FinishedRuns(RunRegistry registry, UpstreamController upstreamController) {
        this.registry = registry;
        this.upstreamController = upstreamController;
    }

    /** Discards a finished run whose completion is stored or need not be. */
    void discardSettled(RunIdentity identity) {
        LocalRun run = registry.findRun(identity);
        if (run != null && run.isInPhase(Phase.ENDED)) {
            registry.completions().recordStored(run.completionNumber(), identity);
            upstreamController.removeFinished(run);
        }
    }

    /**
     * Discards the finished runs of an owner's transient jobs of which it knows: frames of a link arrive in their
     * order, so it had received every report that was sent before the request for a renewal that it has answered.
     *
     * @param owner the owner
     * @param requestedAt when the renewal was requested, in milliseconds of the loop's clock
     */
    void discardReceived(OwnerLease owner, long requestedAt) {
        for (LocalRun run : List.copyOf(registry.allRuns())) {
            if (run.isInPhase(Phase.ENDED)
                    && !run.isDurable()
                    && run.owner().equals(owner.incarnation())
                    && run.ownerChangedOrFinishedAt() < requestedAt) {
                upstreamController.removeFinished(run);
            }
        }
    }

    /** Stops a run that no entry will own again, or removes it if it has finished. */
    void discard(LocalRun run, String cause) {
        if (run.isInPhase(Phase.ENDED)) {
            upstreamController.removeFinished(run);
        } else {
            upstreamController.withdraw(run, cause);
        }
    }
}
