package io.caperturn.jobs.upstream;

import io.caperturn.jobs.model.RunIdentity;
import java.util.Set;

/**
 * Observation of the upstream that may prove that runs have ended there. All times are in milliseconds of the loop's
 * clock.
 */
sealed interface EndEvidence {
    /**
     * Complete listing of the upstream's runs.
     *
     * @param active the runs that it lists as active
     * @param fenceToken fencing token of the hold request that it answers
     * @param requestedAt when that request was sent
     */
    record CompleteListing(Set<RunIdentity> active, long fenceToken, long requestedAt) implements EndEvidence {
        /** Copies the set. */
        public CompleteListing {
            active = Set.copyOf(active);
        }
    }

    /**
     * Silence of the upstream after several hold requests.
     *
     * @param leaseRequestedAt when an order that extends the lease of the upstream's runs was last sent
     */
    record Silence(long leaseRequestedAt) implements EndEvidence {}

    /**
     * Refusal of a connection, as by the port of a process that has ended, after several unanswered hold requests.
     *
     * @param requestedAt when the request was made for which the connection was to be opened
     */
    record RefusedConnection(long requestedAt) implements EndEvidence {}

    /** Notice of the upstream that it stops. */
    record StopNotice() implements EndEvidence {}
}
