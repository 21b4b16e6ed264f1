package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.record.JobWriter;
import java.util.HashMap;
import java.util.Map;

/** Decision whether a new job is taken: it is refused at once if it can't be stored, run, or ended in time. */
final class Admission {
    /**
     * Multiple of the objective within which a job has to end that comes before any upstream is back: half of the time
     * for which anybody waits, since those in time go first as soon as there is room.
     */
    private static final long LATE_FACTOR_WHILE_STARTING = 2;
    /** Share of the slack that a job may always be expected to wait. */
    private static final double LEAST_WAIT_SHARE = 0.05;
    /** Factor on the allowed wait for each late job; with the growth below, few in a hundred are late. */
    private static final double SHRINK_WHEN_LATE = 0.85;
    /** Growth of the allowed wait for each job in time, as a share of the slack. */
    private static final double GROWTH_IN_TIME = 0.004;

    private final DecisionLoop loop;
    private final JobWriter writer;
    private final Dispatcher dispatcher;
    private final Membership membership;
    private final JobKeeper jobs;
    private final LoadForecast forecast;
    private boolean closing;
    private final Map<String, Double> waitShares = new HashMap<>();

    Admission(DecisionLoop loop, JobWriter writer, Dispatcher dispatcher, Membership membership, JobKeeper jobs) {
        this.loop = loop;
        this.writer = writer;
        this.dispatcher = dispatcher;
        this.membership = membership;
        this.jobs = jobs;
        this.forecast = new LoadForecast(loop, dispatcher, membership);
    }

    /**
     * Learns from the end of a job. Estimates are off, and a job ends with the slowest of its tasks; so the wait that
     * is allowed shrinks with each job that was late, and grows slowly with those that were not.
     */
    void ended(String queue, boolean late) {
        double share = waitShares.getOrDefault(queue, 1.0);
        waitShares.put(
                queue,
                late ? Math.max(LEAST_WAIT_SHARE, share * SHRINK_WHEN_LATE) : Math.min(1, share + GROWTH_IN_TIME));
    }

    /** Refuses jobs from now on that would end later than those that were taken before. */
    void close() {
        closing = true;
    }

    private boolean outlasts(JobPlan plan) {
        long last = jobs.owned().stream()
                .mapToLong(job -> job.arrivedAt() + job.plan().criticalPathMilliseconds())
                .max()
                .orElse(0);
        return plan.durable() || loop.monotonicMilliseconds() + plan.criticalPathMilliseconds() >= last;
    }

    /** Gives the reason to refuse a job, or null if it is taken. */
    CallerAnswers.Submission.Refused refusal(String identity, JobPlan plan, QueuePolicy policy) {
        if (closing && outlasts(plan)) {
            return new CallerAnswers.Submission.Refused("stopping", EntryController.FAULT_RETRY_MILLISECONDS, false);
        }
        if (plan.durable() && !membership.isRegistered()) {
            return new CallerAnswers.Submission.Refused("starting", EntryController.FAULT_RETRY_MILLISECONDS, false);
        }
        if (plan.durable() && !writer.isStoreResponsive()) {
            return new CallerAnswers.Submission.Refused("store-silent", EntryController.FAULT_RETRY_MILLISECONDS, false);
        }
        for (StepPlan step : plan.steps()) {
            if (!Placement.canEverRun(step, policy.service(), dispatcher.sidecars())) {
                return new CallerAnswers.Submission.Refused("no-upstream-fits", EntryController.FAULT_RETRY_MILLISECONDS, false);
            }
        }
        OwnedJob job = new OwnedJob(identity, plan, policy, 0, loop.wallClockMilliseconds(), loop.monotonicMilliseconds());
        int entries = Math.max(1, membership.of(ProcessRole.ENTRY).size());
        long end = forecast.predictEnd(job, entries);
        long chain = plan.criticalPathMilliseconds();
        long allowed =
                chain + Math.round(waitShares.getOrDefault(policy.name(), 1.0) * Math.max(0, job.objective() - chain));
        if (end == Long.MAX_VALUE) {
            return new CallerAnswers.Submission.Refused("no-upstream", EntryController.FAULT_RETRY_MILLISECONDS, false);
        }
        if (forecast.isStarting(policy.service())) {
            allowed = LATE_FACTOR_WHILE_STARTING * job.objective();
        }
        return end > allowed ? new CallerAnswers.Submission.Refused("load", Math.max(1, end - allowed), true) : null;
    }
}
