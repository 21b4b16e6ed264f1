package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.record.JobWriter;
import java.util.HashMap;
import java.util.Map;

/** Admission of new jobs: a job is refused at once if it cannot be stored, run, or completed in time. */
final class JobAdmission {
    /**
     * Multiple of the objective within which a job has to be predicted to complete while no upstream is available yet.
     * It lies halfway between the objective and the time after which no caller waits, {@link OwnedJob#LATE_FACTOR}
     * times the objective. Jobs that may be late are accepted then, because tasks that can still be on time start first
     * once there is capacity.
     */
    private static final long LATE_FACTOR_WHILE_STARTING = 2;
    /** Minimum of the wait allowed to a new job, as a fraction of its slack (objective less critical path). */
    private static final double MIN_WAIT_SHARE = 0.05;
    /**
     * Factor on the allowed wait after each late job; with {@link #ON_TIME_WAIT_INCREMENT}, it settles where a few jobs
     * in a hundred are late.
     */
    private static final double LATE_WAIT_FACTOR = 0.85;
    /** Increment of the allowed wait after each job that was on time, as a fraction of the slack. */
    private static final double ON_TIME_WAIT_INCREMENT = 0.004;

    private final DecisionLoop loop;
    private final JobWriter writer;
    private final TaskDispatcher dispatcher;
    private final ProcessMembership membership;
    private final OwnedJobRegistry jobs;
    private final LoadForecast forecast;
    private boolean refusingLongerJobs;
    private final Map<String, Double> allowedWaitShares = new HashMap<>();

    JobAdmission(
            DecisionLoop loop,
            JobWriter writer,
            TaskDispatcher dispatcher,
            ProcessMembership membership,
            OwnedJobRegistry jobs) {
        this.loop = loop;
        this.writer = writer;
        this.dispatcher = dispatcher;
        this.membership = membership;
        this.jobs = jobs;
        this.forecast = new LoadForecast(loop, dispatcher, membership);
    }

    /**
     * Adapts the allowed wait of a queue to the completion of one of its jobs. Estimates are inaccurate, and a job
     * completes with the slowest of its tasks; so the allowed wait shrinks with each late job and grows slowly with
     * each job that was on time.
     */
    void recordCompletion(String queue, boolean late) {
        double allowedShare = allowedWaitShares.getOrDefault(queue, 1.0);
        allowedWaitShares.put(
                queue,
                late
                        ? Math.max(MIN_WAIT_SHARE, allowedShare * LATE_WAIT_FACTOR)
                        : Math.min(1, allowedShare + ON_TIME_WAIT_INCREMENT));
    }

    /** Refuses from now on new jobs that would finish later than all jobs accepted before. */
    void refuseLongerJobs() {
        refusingLongerJobs = true;
    }

    /** Returns whether a new job would finish later than all owned jobs; assumed for every durable job. */
    private boolean outlastsOwnedJobs(JobPlan plan) {
        long lastCompletion = jobs.owned().stream()
                .mapToLong(job -> job.arrivedAt() + job.plan().criticalPathMilliseconds())
                .max()
                .orElse(0);
        return plan.durable() || loop.monotonicMilliseconds() + plan.criticalPathMilliseconds() >= lastCompletion;
    }

    /** Returns the refusal of a job, or null if the job is accepted. */
    CallerAnswers.Submission.Refused findRefusal(String identity, JobPlan plan, QueuePolicy policy) {
        if (refusingLongerJobs && outlastsOwnedJobs(plan)) {
            return new CallerAnswers.Submission.Refused("stopping", EntryController.FAULT_RETRY_MILLISECONDS, false);
        }
        if (plan.durable() && !membership.isRegistered()) {
            return new CallerAnswers.Submission.Refused("starting", EntryController.FAULT_RETRY_MILLISECONDS, false);
        }
        if (plan.durable() && !writer.isStoreResponsive()) {
            return new CallerAnswers.Submission.Refused(
                    "store-silent", EntryController.FAULT_RETRY_MILLISECONDS, false);
        }
        for (StepPlan step : plan.steps()) {
            if (!UpstreamSelector.canEverRun(step, policy.service(), dispatcher.sidecars())) {
                return new CallerAnswers.Submission.Refused(
                        "no-upstream-fits", EntryController.FAULT_RETRY_MILLISECONDS, false);
            }
        }
        OwnedJob job =
                new OwnedJob(identity, plan, policy, 0, loop.wallClockMilliseconds(), loop.monotonicMilliseconds());
        int entryCount =
                Math.max(1, membership.membersWithRole(ProcessRole.ENTRY).size());
        long predictedMilliseconds = forecast.predictCompletion(job, entryCount);
        long criticalPathMilliseconds = plan.criticalPathMilliseconds();
        long allowedMilliseconds = criticalPathMilliseconds
                + Math.round(allowedWaitShares.getOrDefault(policy.name(), 1.0)
                        * Math.max(0, job.objectiveMilliseconds() - criticalPathMilliseconds));
        if (predictedMilliseconds == Long.MAX_VALUE) {
            return new CallerAnswers.Submission.Refused("no-upstream", EntryController.FAULT_RETRY_MILLISECONDS, false);
        }
        if (forecast.isStarting(policy.service())) {
            allowedMilliseconds = LATE_FACTOR_WHILE_STARTING * job.objectiveMilliseconds();
        }
        return predictedMilliseconds > allowedMilliseconds
                ? new CallerAnswers.Submission.Refused(
                        "load", Math.max(1, predictedMilliseconds - allowedMilliseconds), true)
                : null;
    }
}
