package io.caperturn.jobs.upstream;

/**
 * Leases, intervals and time-outs of a sidecar process, all in milliseconds.
 *
 * <p>The owner of a run is the entry process that dispatched the run. An owner's lease on its runs counts from the
 * owner's last confirmation: the moment at which the sidecar sent the last request that the owner has answered.
 *
 * @param upstreamLeaseMilliseconds maximum time for which the upstream executes runs without a request from the sidecar
 * @param holdWaitMilliseconds maximum wait of a hold request, which extends the upstream's lease; well below that
 *     lease, which then does not expire when one answer is lost, unless it is limited by the lease of an owner
 * @param answerTimeoutMilliseconds time after which an order counts as unanswered
 * @param ownerLeaseForStartsMilliseconds how long after its owner's last confirmation a queued run may still start
 * @param ownerLeaseOnStoredRunsMilliseconds how long after the owner's last confirmation runs of stored jobs continue;
 *     another entry adopts the jobs of a lost owner within that time
 * @param ownerLeaseOnTransientRunsMilliseconds how long after the owner's last confirmation runs of jobs that are not
 *     stored continue; no other entry adopts these
 * @param statusIntervalMilliseconds interval of status frames to an owner of runs, which request its confirmation
 */
public record SidecarTimings(
        long upstreamLeaseMilliseconds,
        long holdWaitMilliseconds,
        long answerTimeoutMilliseconds,
        long ownerLeaseForStartsMilliseconds,
        long ownerLeaseOnStoredRunsMilliseconds,
        long ownerLeaseOnTransientRunsMilliseconds,
        long statusIntervalMilliseconds) {
    /**
     * How long queued runs may start after their owner's last confirmation, in milliseconds: a few status intervals.
     */
    public static final long OWNER_LEASE_FOR_STARTS_MILLISECONDS = 1_000;
    /**
     * How long runs of stored jobs continue after their owner's last confirmation, in milliseconds. Covers the
     * detection of the owner's loss (2.5 s) and the adoption of its jobs.
     */
    public static final long OWNER_LEASE_ON_STORED_RUNS_MILLISECONDS = 4_500;
    /**
     * How long runs of jobs that are not stored continue after their owner's last confirmation, in milliseconds. If the
     * owner is lost, the caller submits such a job again after 1.3 s. The earlier runs must have ended by then also if
     * they are not stopped but lapse with the lease of the upstream, which expires a margin later on a clock that may
     * be slow.
     */
    public static final long OWNER_LEASE_ON_TRANSIENT_RUNS_MILLISECONDS = 950;
    /**
     * Time after the opening of a link within which its entry answers for the first time, in milliseconds. Until then
     * active runs that it has taken over continue; short compared with the margin with which other entries wait for the
     * end of a lost entry's runs.
     */
    public static final long FIRST_ANSWER_MILLISECONDS = 300;
    /**
     * Interval of status frames, in milliseconds: less than a third of the shortest owner's lease, so that two of these
     * frames can be lost.
     */
    public static final long STATUS_INTERVAL_MILLISECONDS = 300;
    /**
     * Interval of status frames to entries that own no run here, in milliseconds: less than the lease for starts, so
     * that a dispatch can be started without waiting for a renewal, and a third of the time after which a link without
     * frames is closed.
     */
    public static final long IDLE_STATUS_INTERVAL_MILLISECONDS = 600;
    /**
     * Time-out of an order, in milliseconds. An upstream on the same machine answers within a few milliseconds; a busy
     * processor adds tens.
     */
    public static final long ANSWER_TIMEOUT_MILLISECONDS = 250;
    /**
     * Wait of a hold request, in milliseconds: a quarter of an upstream's lease of 1 s, so that two requests can fail.
     */
    public static final long HOLD_WAIT_MILLISECONDS = 250;

    /**
     * Returns the default timings for an upstream's lease.
     *
     * @param upstreamLeaseMilliseconds maximum lease that the upstream grants, in milliseconds
     * @return the timings
     */
    public static SidecarTimings forLease(long upstreamLeaseMilliseconds) {
        return new SidecarTimings(
                upstreamLeaseMilliseconds,
                Math.min(HOLD_WAIT_MILLISECONDS, upstreamLeaseMilliseconds / 4),
                ANSWER_TIMEOUT_MILLISECONDS,
                OWNER_LEASE_FOR_STARTS_MILLISECONDS,
                OWNER_LEASE_ON_STORED_RUNS_MILLISECONDS,
                OWNER_LEASE_ON_TRANSIENT_RUNS_MILLISECONDS,
                STATUS_INTERVAL_MILLISECONDS);
    }
}
