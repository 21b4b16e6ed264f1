package io.caperturn.jobs.upstream;

/**
 * Claim of an entry on a run at a sidecar, which decides until when the run may continue. The owner of a run is the
 * entry (process that accepts jobs) that dispatched it last.
 *
 * <table>
 * <caption>Transitions</caption>
 * <tr><th>event</th><th>claim afterwards</th></tr>
 * <tr><td>an entry dispatches the run</td><td>{@link Held}</td></tr>
 * <tr><td>the owner is lost, the job is stored</td><td>{@link Left}</td></tr>
 * <tr><td>the upstream lists a run that this process did not start</td><td>{@link Left}</td></tr>
 * </table>
 */
sealed interface RunClaim {
    /** The run continues under the lease of its owner. */
    record Held() implements RunClaim {}

    /**
     * The owner is lost, or dispatched the run to an earlier incarnation of this process.
     *
     * @param continuesUntil time until which the run may continue, in milliseconds of the loop's clock
     */
    record Left(long continuesUntil) implements RunClaim {}
}
