package io.caperturn.jobs.owner;

import io.caperturn.jobs.DecisionLoop;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.jobs.message.ProcessRole;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.record.JobWriter;
import io.caperturn.jobs.zone.ZoneEvacuations;
import io.caperturn.jobs.zone.ZoneStartGate;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/**
 * Admission control of an entry, a process that accepts jobs: a new job is refused at once if it cannot be stored, run,
 * or completed in time.
 *
 * <p>The objective of a job is the time within which it should complete. Its critical path is its estimated duration
 * without waits, and its slack is the difference. A new job is allowed to wait for a fraction of its slack; the
 * fraction adapts to how many jobs of its queue were late. A durable job is a stored one.
 */
final class JobAdmission {
    /**
     * Multiple of the objective within which a new job must be predicted to complete while no upstream is available
     * yet. It lies halfway between the objective and {@link OwnedJob#EXPIRY_FACTOR} times the objective, after which no
     * caller waits. Jobs that could be late are accepted, because tasks that can still be on time start first once
     * there is capacity.
     */
    private static final long OBJECTIVE_FACTOR_WHILE_STARTING = 2;
    /** Minimum wait that a new job is allowed, as a fraction of its slack. */
    private static final double MIN_WAIT_FRACTION = 0.05;
    /**
     * Factor by which each late job reduces the allowed wait. With {@link #ON_TIME_WAIT_INCREMENT}, the allowed wait
     * converges to a value at which a few jobs in a hundred are late.
     */
    private static final double LATE_WAIT_FACTOR = 0.85;
    /** Amount by which each job that was on time raises the allowed wait, as a fraction of the slack. */
    private static final double ON_TIME_WAIT_INCREMENT = 0.004;

    /** Refusal of a job because this entry is about to stop. */
    static final CallerAnswers.Submission.Refused STOPPING = new CallerAnswers.Submission.Refused(
            "stopping", EntryController.FAULT_RETRY_MILLISECONDS, /* overloaded= */ false);

    private final DecisionLoop loop;
    private final JobWriter writer;
    private final TaskDispatcher dispatcher;
    private final ProcessMembership membership;
    private final LoadForecast forecast;
    private final EvacuationImpact evacuationImpact;
    /** When this entry stops, in milliseconds of the monotonic clock; empty unless it is about to stop. */
    private OptionalLong stopDeadline = OptionalLong.empty();

    private long lastSubmissionAt;

    private final Map<String, Double> allowedWaitFractionByQueue = new HashMap<>();

    JobAdmission(
            DecisionLoop loop,
            JobWriter writer,
            TaskDispatcher dispatcher,
            ProcessMembership membership,
            OwnedJobRepository jobs,
            ZoneEvacuations evacuations) {
        this.loop = loop;
        this.writer = writer;
        this.dispatcher = dispatcher;
        this.membership = membership;
        this.lastSubmissionAt = loop.monotonicMilliseconds();
        this.forecast = new LoadForecast(loop, dispatcher, membership, evacuations);
        this.evacuationImpact = new EvacuationImpact(evacuations, dispatcher, jobs, membership, forecast);
    }

    /**
     * Adapts the allowed wait of a queue to the completion of one of its jobs. Because estimates are inaccurate, and a
     * job completes only with the slowest of its tasks, the allowed wait shrinks with each late job and grows slowly
     * with each job that was on time.
     *
     * @param queue name of the queue
     * @param late whether the job completed after its objective
     */
    void recordCompletion(String queue, boolean late) {
        double allowedFraction = allowedWaitFractionByQueue.getOrDefault(queue, 1.0);
        allowedWaitFractionByQueue.put(
                queue,
                late
                        ? Math.max(MIN_WAIT_FRACTION, allowedFraction * LATE_WAIT_FACTOR)
                        : Math.min(1, allowedFraction + ON_TIME_WAIT_INCREMENT));
    }

    /** Records that a job was submitted, whether it is accepted or not. */
    void recordSubmission() {
        lastSubmissionAt = loop.monotonicMilliseconds();
    }

    /** Returns the time since the last submission of a job, or else since the start, in milliseconds. */
    long millisecondsSinceSubmission() {
        return loop.monotonicMilliseconds() - lastSubmissionAt;
    }

    /**
     * Refuses from now on all new durable jobs, and those that would not complete by a time of the monotonic clock, in
     * milliseconds.
     */
    void refuseJobsEndingAfter(long deadline) {
        stopDeadline = OptionalLong.of(deadline);
    }

    /** Returns whether this entry is about to stop, and should not accept a job that may not complete before. */
    private boolean outlastsThisEntry(JobPlan plan) {
        return stopDeadline.isPresent()
                && (plan.durable()
                        || loop.monotonicMilliseconds() + plan.criticalPathMilliseconds() > stopDeadline.getAsLong());
    }

    EvacuationImpact evacuationImpact() {
        return evacuationImpact;
    }

    /** Logs and counts the refusal of a new job; the times on which it rests are 0 if it is not for load. */
    void logRefusal(
            String identity, QueuePolicy policy, CallerAnswers.Submission.Refused refusal, Assessment assessment) {
        loop.log()
                .event(
                        EventName.REFUSED,
                        EventKey.JOB,
                        identity,
                        EventKey.QUEUE,
                        policy.name(),
                        EventKey.REASON,
                        refusal.reason(),
                        EventKey.RETRY_AFTER,
                        refusal.retryAfterMilliseconds(),
                        EventKey.EXPECTED,
                        assessment.predictedMilliseconds().orElse(0),
                        EventKey.ALLOWED,
                        assessment.allowedMilliseconds().orElse(0),
                        EventKey.WAITING,
                        dispatcher.backlog().size());
        loop.log().count("refused-" + (refusal.overloaded() ? "load" : "fault"));
        if (refusal.reason().equals(ZoneStartGate.ZONE_EVACUATED)) {
            loop.log().count("refused-" + ZoneStartGate.ZONE_EVACUATED);
        }
    }

    /**
     * Assessment of a new job.
     *
     * @param refusal the refusal; empty if the job is accepted
     * @param predictedMilliseconds predicted time until the job completes, in milliseconds; empty if it is not needed
     * @param allowedMilliseconds longest predicted time with which the job is accepted, in milliseconds; empty likewise
     */
    record Assessment(
            Optional<CallerAnswers.Submission.Refused> refusal,
            OptionalLong predictedMilliseconds,
            OptionalLong allowedMilliseconds) {
        /** Returns the assessment of a job that is refused for a reason other than load. */
        static Assessment ofFault(CallerAnswers.Submission.Refused refusal) {
            return new Assessment(Optional.of(refusal), OptionalLong.empty(), OptionalLong.empty());
        }
    }

    /** Assesses a new job, without any effect. */
    Assessment assess(String identity, JobPlan plan, QueuePolicy policy) {
        CallerAnswers.Submission.Refused fault = findFault(plan, policy);
        return fault == null ? assessLoad(identity, plan, policy) : Assessment.ofFault(fault);
    }

    /**
     * Returns the refusal of a new job for a reason other than the time until it completes, or null if there is none.
     */
    private CallerAnswers.Submission.Refused findFault(JobPlan plan, QueuePolicy policy) {
        if (outlastsThisEntry(plan)) {
            return STOPPING;
        }
        if (plan.durable() && !membership.isRegistered()) {
            return new CallerAnswers.Submission.Refused("starting", EntryController.FAULT_RETRY_MILLISECONDS, false);
        }
        if (plan.durable() && !writer.isStoreResponsive()) {
            return new CallerAnswers.Submission.Refused(
                    "store-silent", EntryController.FAULT_RETRY_MILLISECONDS, false);
        }
        for (StepPlan step : plan.steps()) {
            if (!UpstreamSelector.canEverRun(step, policy.service(), dispatcher.sidecars())
                    && !evacuationImpact.isAwaitingOtherZones(policy.service())) {
                return new CallerAnswers.Submission.Refused(
                        evacuationImpact.fitsInEvacuatedZone(step, policy.service())
                                ? ZoneStartGate.ZONE_EVACUATED
                                : "no-upstream-fits",
                        EntryController.FAULT_RETRY_MILLISECONDS,
                        false);
            }
        }
        return null;
    }

    private Assessment assessLoad(String identity, JobPlan plan, QueuePolicy policy) {
        OwnedJob job = new OwnedJob(
                identity, plan, policy, /* generation */ 0, loop.wallClockMilliseconds(), loop.monotonicMilliseconds());
        int entryCount =
                Math.max(1, membership.membersWithRole(ProcessRole.ENTRY).size());
        long predictedMilliseconds = forecast.predictCompletionMilliseconds(job, entryCount);
        long criticalPathMilliseconds = plan.criticalPathMilliseconds();
        long allowedMilliseconds = criticalPathMilliseconds
                + Math.round(allowedWaitFractionByQueue.getOrDefault(policy.name(), 1.0)
                        * Math.max(0, job.objectiveMilliseconds() - criticalPathMilliseconds));
        if (predictedMilliseconds == Long.MAX_VALUE) {
            return Assessment.ofFault(new CallerAnswers.Submission.Refused(
                    "no-upstream", EntryController.FAULT_RETRY_MILLISECONDS, /* overloaded= */ false));
        }
        if (forecast.isAwaitingUpstreams(policy.service())) {
            allowedMilliseconds = OBJECTIVE_FACTOR_WHILE_STARTING * job.objectiveMilliseconds();
        }
        Optional<CallerAnswers.Submission.Refused> refusal = predictedMilliseconds > allowedMilliseconds
                ? Optional.of(new CallerAnswers.Submission.Refused(
                        "load", Math.max(1, predictedMilliseconds - allowedMilliseconds), /* overloaded= */ true))
                : Optional.empty();
        return new Assessment(refusal, OptionalLong.of(predictedMilliseconds), OptionalLong.of(allowedMilliseconds));
    }
}
