package io.caperturn.jobs.upstream;

/**
 * Times that a sidecar keeps to, all in milliseconds.
 *
 * @param leaseMilliseconds longest lease that the upstream grants its runs
 * @param holdWaitMilliseconds longest wait of a hold; well below the lease, so that a lost answer costs no lease
 * @param answerMilliseconds time after which an order counts as unanswered
 * @param startAuthorityMilliseconds how long after its last sign of life an owner's waiting runs may still start
 * @param runAuthorityMilliseconds how long after that runs of stored jobs go on; an adopter needs that long at most
 * @param transientAuthorityMilliseconds how long after that runs of jobs go on that nobody would adopt
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
    /** How long an owner's waiting runs may start after its last sign of life: a few renewals. */
    public static final long START_AUTHORITY_MILLISECONDS = 1_000;
    /** How long an owner's runs go on after its last sign of life: detection of its loss (2.5 s) and adoption. */
    public static final long RUN_AUTHORITY_MILLISECONDS = 4_500;
    /**
     * How long runs go on whose caller waits at an entry that is silent: the caller sends such a job again after 1.3 s,
     * and until then they have to be stopped.
     */
    public static final long TRANSIENT_AUTHORITY_MILLISECONDS = 1_000;
    /** Interval of status frames: less than a third of the shortest authority, so that two may be lost. */
    public static final long RENEWAL_MILLISECONDS = 300;
    /** An upstream answers on its own machine within a few milliseconds; a busy processor adds tens. */
    public static final long ANSWER_MILLISECONDS = 250;
    /** Wait of a hold: a quarter of a lease of one second, so that two holds may fail. */
    public static final long HOLD_WAIT_MILLISECONDS = 250;

    /**
     * Gives the usual times for a lease.
     *
     * @param leaseMilliseconds longest lease that the upstream grants, in milliseconds
     * @return the settings
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
