package io.caperturn.jobs.upstream;

/**
 * Leases, intervals and time-outs of a sidecar, all in milliseconds.
 *
 * @param leaseMilliseconds maximum lease that the upstream grants its runs
 * @param holdWaitMilliseconds maximum wait of a hold request; well below the lease, so that one lost answer does not
 *     let the lease expire
 * @param answerMilliseconds time after which an order counts as unanswered
 * @param startAuthorityMilliseconds how long after its owner's last confirmation a queued run may still start
 * @param runAuthorityMilliseconds how long after the owner's last confirmation runs of stored jobs continue; adoption
 *     by another entry takes at most that long
 * @param transientAuthorityMilliseconds how long after the owner's last confirmation runs of jobs that are not stored
 *     continue; no other entry adopts these
 * @param renewalMilliseconds interval of status frames
 */
public record SidecarTimings(
        long leaseMilliseconds,
        long holdWaitMilliseconds,
        long answerMilliseconds,
        long startAuthorityMilliseconds,
        long runAuthorityMilliseconds,
        long transientAuthorityMilliseconds,
        long renewalMilliseconds) {
    /** How long queued runs may start after their owner's last confirmation, in milliseconds: a few renewals. */
    public static final long START_AUTHORITY_MILLISECONDS = 1_000;
    /**
     * How long runs of stored jobs continue after their owner's last confirmation, in milliseconds. Covers the
     * detection of the owner's loss (2.5 s) and the adoption of its jobs.
     */
    public static final long RUN_AUTHORITY_MILLISECONDS = 4_500;
    /**
     * How long runs of jobs that are not stored continue after their owner's last confirmation, in milliseconds. The
     * caller submits such a job again after 1.3 s, and the earlier runs must have been stopped by then.
     */
    public static final long TRANSIENT_AUTHORITY_MILLISECONDS = 1_000;
    /**
     * Interval of status frames, in milliseconds: less than a third of the shortest authority, so that two may be lost.
     */
    public static final long RENEWAL_MILLISECONDS = 300;
    /**
     * Time-out of an order, in milliseconds. An upstream on the same machine answers within a few milliseconds; a busy
     * processor adds tens.
     */
    public static final long ANSWER_MILLISECONDS = 250;
    /** Wait of a hold request, in milliseconds: a quarter of a lease of one second, so that two requests may fail. */
    public static final long HOLD_WAIT_MILLISECONDS = 250;

    /**
     * Returns the default timings for a lease.
     *
     * @param leaseMilliseconds maximum lease that the upstream grants, in milliseconds
     * @return the timings
     */
    public static SidecarTimings forLease(long leaseMilliseconds) {
        return new SidecarTimings(
                leaseMilliseconds,
                Math.min(HOLD_WAIT_MILLISECONDS, leaseMilliseconds / 4),
                ANSWER_MILLISECONDS,
                START_AUTHORITY_MILLISECONDS,
                RUN_AUTHORITY_MILLISECONDS,
                TRANSIENT_AUTHORITY_MILLISECONDS,
                RENEWAL_MILLISECONDS);
    }
}
