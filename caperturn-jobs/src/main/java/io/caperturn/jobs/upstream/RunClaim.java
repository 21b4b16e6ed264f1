package io.caperturn.jobs.upstream;

/**
 * Claim of an entry on a run at a sidecar, which decides until when the run may continue. The owner of a run is the
 * entry (process that accepts jobs) that dispatched it last.
 *
 * <table>
 * <caption>Transitions</caption>
 * <tr><th>event</th><th>claim afterwards</th></tr>
 * <tr><td>an entry dispatches the run over its present link</td><td>{@link Held}</td></tr>
 * <tr><td>the owner opens another link</td><td>{@link Expiring}, until its lease expires</td></tr>
 * <tr><td>the owner is lost, the job is stored</td><td>{@link Expiring}, for the time of an adoption</td></tr>
 * <tr><td>this process was suspended</td><td>an {@link Expiring} one has expired</td></tr>
 * <tr><td>the upstream lists a run that this process does not know</td><td>{@link Found}</td></tr>
 * </table>
 */
sealed interface RunClaim {
    /** The owner dispatched the run over its present link; the run continues under the owner's lease. */
    record Held() implements RunClaim {}

    /**
     * The run is known from before the owner's present link, or its owner is lost. The owner may not know the run any
     * more, so renewals of its lease don't apply to it.
     *
     * @param continuesUntil time until which the run may continue, in milliseconds of the loop's clock
     */
    record Expiring(long continuesUntil) implements RunClaim {}

    /**
     * The upstream lists the run, and this process does not know it: an earlier incarnation started it, or it counted
     * as ended. When its owner was heard of last is unknown, so the lease of the upstream is not extended for it.
     *
     * @param claimExpectedBy time at which the run is stopped, in milliseconds of the loop's clock
     */
    record Found(long claimExpectedBy) implements RunClaim {}
}
