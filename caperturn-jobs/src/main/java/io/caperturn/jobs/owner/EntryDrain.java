package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;

/**
 * Graceful stop of an entry (process that accepts jobs). It answers the load of a rolling restart: callers still come
 * to a stopping entry, because the load balancer removes it late, or has no other to send them to.
 *
 * <p>The entry reports that it is not ready, and hands its jobs over once it has none and nobody submits any, or
 * shortly before the end of the grace period. Until then it accepts the jobs that can complete before that.
 */
public final class EntryDrain {
    /**
     * Time from a stop request until the load balancer sends no new connections, in milliseconds. The load balancer
     * probes once a second and removes an entry after two failed probes.
     */
    private static final long LOAD_BALANCER_REMOVAL_MILLISECONDS = 2_400;
    /** Time reserved for handing over unfinished jobs before the process is killed, in milliseconds. */
    private static final long HAND_OVER_RESERVE_MILLISECONDS = 600;
    /** Time reserved for jobs that take longer than estimated, in milliseconds. */
    private static final long OVERRUN_RESERVE_MILLISECONDS = 600;
    /** Time without a submission after which no more callers are expected, in milliseconds. */
    private static final long QUIET_MILLISECONDS = 250;
    /** Interval of the check whether all jobs are finished, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLISECONDS = 25;

    private final DecisionLoop loop;
    private final EntryController entry;
    private final Runnable handedOver;
    /** Time by which accepted jobs are expected to complete, in milliseconds of the monotonic clock. */
    private final long lastCompletionAt;
    /** Time at which unfinished jobs are handed over, in milliseconds of the monotonic clock. */
    private final long handOverAt;

    /**
     * Creates a graceful stop; {@link #start} begins it.
     *
     * @param loop the loop on which all calls are made
     * @param entry the entry to stop
     * @param graceMilliseconds time from now until the process is killed, in milliseconds
     * @param handedOver called once the entry has handed over its jobs, and may exit
     */
    public EntryDrain(DecisionLoop loop, EntryController entry, long graceMilliseconds, Runnable handedOver) {
        this.loop = loop;
        this.entry = entry;
        this.handedOver = handedOver;
        this.handOverAt = loop.monotonicMilliseconds() + graceMilliseconds - HAND_OVER_RESERVE_MILLISECONDS;
        this.lastCompletionAt = handOverAt - OVERRUN_RESERVE_MILLISECONDS;
    }

    /** Reports that the entry is not ready, and begins to wait until it can hand over its jobs. */
    public void start() {
        entry.reportNotReady();
        loop.after(LOAD_BALANCER_REMOVAL_MILLISECONDS, this::check);
    }

    private void check() {
        long now = loop.monotonicMilliseconds();
        JobAdmission admission = entry.admission();
        admission.refuseJobsEndingAfter(lastCompletionAt);
        boolean acceptingNone = now > lastCompletionAt || admission.millisecondsSinceSubmission() >= QUIET_MILLISECONDS;
        if (entry.ownsNoJobs() && acceptingNone || now > handOverAt) {
            entry.handOverJobs(handedOver);
        } else {
            loop.after(CHECK_INTERVAL_MILLISECONDS, this::check);
        }
    }
}
