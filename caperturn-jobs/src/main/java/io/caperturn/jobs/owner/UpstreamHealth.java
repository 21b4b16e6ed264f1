package io.caperturn.jobs.owner;

import io.caperturn.jobs.model.RunIdentity;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Health of an upstream as known from the outcomes of runs. An upstream on which tasks of several jobs have failed is
 * ejected: it gets no tasks for a time. Then it is on probation: it gets a single task at a time, as a probe, until a
 * run succeeds there.
 *
 * <p>No part of this state lasts until a run ends: a probe of which nothing is heard is given up after a time, and the
 * preference of other upstreams for tasks before their last attempt ends by itself. All times are in milliseconds of
 * the monotonic clock.
 *
 * @param failedJobs jobs of which tasks have failed there since the last success, as far as they matter
 * @param succeeded whether any run has succeeded there
 * @param ejectedUntil end of the last ejection; 0 if no ejection was followed by anything but a success
 * @param probe the probe on its way, if there is one
 */
record UpstreamHealth(Set<String> failedJobs, boolean succeeded, long ejectedUntil, Optional<Probe> probe) {
    /** Health of an upstream of which nothing is known. */
    static final UpstreamHealth UNKNOWN =
            new UpstreamHealth(Set.of(), /* succeeded= */ false, /* ejectedUntil= */ 0, Optional.empty());

    /**
     * Number of jobs with failed tasks after which an upstream is ejected. Failures of one job count once, because a
     * job that always fails says nothing about the upstream.
     */
    private static final int EJECTION_JOBS = 3;

    private static final long EJECTION_MILLISECONDS = 2_000;
    /** Time after which a probe of which nothing is heard is given up, in milliseconds; runs rarely take longer. */
    private static final long PROBE_MILLISECONDS = 10_000;
    /**
     * Time after an ejection in which tasks before their last attempt wait for another upstream rather than being the
     * probe, in milliseconds.
     */
    private static final long LAST_ATTEMPT_WAIT_MILLISECONDS = 1_000;

    /** Copies the set. */
    UpstreamHealth {
        failedJobs = Set.copyOf(failedJobs);
    }

    /**
     * Run that was sent as a probe.
     *
     * @param run the run
     * @param until when it is given up if nothing is heard of it
     */
    record Probe(RunIdentity run, long until) {}

    /** Returns the health after a successful run, which also ends an ejection. */
    UpstreamHealth afterSuccess() {
        return new UpstreamHealth(Set.of(), /* succeeded= */ true, /* ejectedUntil= */ 0, Optional.empty());
    }

    /** Returns the health after a failure of a task of a job. */
    UpstreamHealth afterFailure(String job, long now) {
        Set<String> jobs = new HashSet<>(failedJobs);
        if (jobs.size() < EJECTION_JOBS) {
            jobs.add(job);
        }
        long end = jobs.size() < EJECTION_JOBS ? ejectedUntil : now + EJECTION_MILLISECONDS;
        return new UpstreamHealth(jobs, succeeded, end, Optional.empty());
    }

    /** Returns the health after a run was sent, which is a probe if the upstream is on probation. */
    UpstreamHealth afterDispatch(RunIdentity run, long now) {
        return isOnProbation()
                ? new UpstreamHealth(
                        failedJobs, succeeded, ejectedUntil, Optional.of(new Probe(run, now + PROBE_MILLISECONDS)))
                : this;
    }

    /** Returns the health after a run has ended without a success or failure, or was given up. */
    UpstreamHealth afterEnd(RunIdentity run) {
        return probe.isPresent() && probe.get().run().equals(run)
                ? new UpstreamHealth(failedJobs, succeeded, ejectedUntil, Optional.empty())
                : this;
    }

    /** Returns whether no task can be sent to the upstream now: it is ejected, or a probe is on its way. */
    boolean isEjected(long now) {
        return isOnProbation()
                && (now < ejectedUntil
                        || probe.filter(sent -> now < sent.until()).isPresent());
    }

    /** Returns whether the upstream was ejected and no run has succeeded on it since. */
    boolean isOnProbation() {
        return ejectedUntil > 0;
    }

    /** Returns whether tasks before their last attempt wait for another upstream now, if there is one. */
    boolean isAvoidedByLastAttempts(long now) {
        return isOnProbation() && now < ejectedUntil + LAST_ATTEMPT_WAIT_MILLISECONDS;
    }

    /** Returns whether a run has succeeded on the upstream and no failure has been counted since. */
    boolean isKnownGood() {
        return succeeded && failedJobs.isEmpty();
    }
}
