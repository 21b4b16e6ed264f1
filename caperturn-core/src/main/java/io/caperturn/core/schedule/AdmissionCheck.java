package io.caperturn.core.schedule;

import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.TaskSpec;
import java.time.Duration;
import java.util.Optional;

/**
 * Checks whether a submission may enter the queues of this entry (a process that accepts submissions).
 *
 * <p>Each check returns a refusal, or an empty result if the submission passes it. An entry may use a share of each
 * limit. A back end (a sidecar process with its upstream) of slowness 2 takes twice the mean service time. Times of
 * type long are in nanoseconds since the epoch.
 */
final class AdmissionCheck {
    private final SchedulerPolicy.AdmissionPolicy policy;

    AdmissionCheck(SchedulerPolicy.AdmissionPolicy policy) {
        this.policy = policy;
    }

    /** Returns the refusal by the first check that the submission does not pass, empty if it passes all. */
    Optional<AdmissionDecision.Refused> findRefusal(
            Submission submission, KindState kind, LimitUsage teamUsage, long now) {
        return checkLimitsOfWholeSystem(submission, kind, teamUsage)
                .or(() -> checkServed(kind, now))
                .or(() -> checkQueueLimit(
                        submission, kind, kind.usage(), "kind " + kind.row().kind(), now))
                .or(() -> checkQueueLimit(
                        submission, kind, teamUsage, "team " + submission.id().team(), now))
                .or(() -> checkStartRate(
                        submission, kind.usage(), "kind " + kind.row().kind(), now))
                .or(() -> checkStartRate(
                        submission, teamUsage, "team " + submission.id().team(), now))
                .or(() -> checkDeadline(submission, kind, now));
    }

    /** Checks that the limits of the whole system would allow the submission if nothing else waited or ran. */
    private static Optional<AdmissionDecision.Refused> checkLimitsOfWholeSystem(
            Submission submission, KindState kind, LimitUsage teamUsage) {
        int tasks = submission.tasks().size();
        if (kind.usage().forbidsStarts() || kind.usage().exceedsQueueLimit(tasks)) {
            return refuse(
                    FailureReason.QUEUE_FULL,
                    "the limits of its kind do not allow the submission even if no other task waits or runs",
                    Optional.empty());
        }
        if (teamUsage.forbidsStarts() || teamUsage.exceedsQueueLimit(tasks)) {
            return refuse(
                    FailureReason.QUEUE_FULL,
                    "the limits of its team do not allow the submission even if no other task waits or runs",
                    Optional.empty());
        }
        return Optional.empty();
    }

    /** Checks that the time for which no upstream has served the kind of task is within the grace period. */
    private Optional<AdmissionDecision.Refused> checkServed(KindState kind, long now) {
        if (kind.updateUnservedTime(now) < policy.unservableGrace().toNanos()) {
            return Optional.empty();
        }
        return refuse(
                FailureReason.NO_UPSTREAM,
                "no upstream serves the kind",
                retryAfter(/* tasks= */ 0, /* tasksPerSecond= */ 0));
    }

    private Optional<AdmissionDecision.Refused> checkQueueLimit(
            Submission submission, KindState kind, LimitUsage usage, String kindOrTeam, long now) {
        long excessTasks = (long) usage.queuedTasks() + submission.tasks().size() - usage.queuedShare(now);
        if (excessTasks <= 0) {
            return Optional.empty();
        }
        return refuse(
                FailureReason.QUEUE_FULL,
                "the queue of " + kindOrTeam + " is full",
                retryAfter(excessTasks, kind.drainRate().startsPerSecond(now)));
    }

    /**
     * Checks that the limit of starts per second allows all tasks to start before the deadline or within one second.
     */
    private Optional<AdmissionDecision.Refused> checkStartRate(
            Submission submission, LimitUsage usage, String kindOrTeam, long now) {
        int startsPerSecond = usage.startRateShare(now);
        double secondsToStart =
                (double) (usage.queuedTasks() + submission.tasks().size()) / Math.max(1, startsPerSecond);
        double remainingSeconds = TimeConversions.toSeconds(TimeConversions.toNanoseconds(submission.deadline()) - now);
        if (secondsToStart <= Math.max(1, remainingSeconds)) {
            return Optional.empty();
        }
        return refuse(
                FailureReason.RATE_LIMITED,
                "the limit of starts per second of " + kindOrTeam + " does not let all tasks start before the deadline",
                retryAfter(usage.queuedTasks(), startsPerSecond));
    }

    /**
     * Checks that a configured fraction of the submission's ideal time (its run time on all slots that its kind may
     * use) remains before its deadline.
     */
    private Optional<AdmissionDecision.Refused> checkDeadline(Submission submission, KindState kind, long now) {
        KindPool pool = kind.pool();
        if (kind.serviceTimes().sampleCount() < policy.minimumSamples() || pool.servingSlots() == 0) {
            return Optional.empty();
        }
        double totalSeconds = 0;
        double longestSeconds = 0;
        for (TaskSpec task : submission.tasks()) {
            double seconds = kind.serviceTimes().expectedSeconds(SubmissionQueue.estimateSeconds(task));
            totalSeconds += seconds;
            longestSeconds = Math.max(longestSeconds, seconds);
        }
        int slots = Math.max(1, Math.min(pool.servingSlots(), kind.usage().runningShare(now)));
        double idealSeconds = pool.lowestSlowness() * Math.max(longestSeconds, totalSeconds / slots);
        double remainingSeconds = TimeConversions.toSeconds(TimeConversions.toNanoseconds(submission.deadline()) - now);
        if (idealSeconds * policy.idealTimeFraction() <= remainingSeconds) {
            return Optional.empty();
        }
        return refuse(FailureReason.DEADLINE, "the submission cannot finish before its deadline", Optional.empty());
    }

    /**
     * Returns the time in which a number of tasks is processed at a rate, within the bounds of retry delays; one second
     * if the rate is 0.
     */
    private Optional<Duration> retryAfter(long tasks, double tasksPerSecond) {
        if (tasksPerSecond <= 0) {
            return Optional.of(Duration.ofSeconds(1));
        }
        Duration estimate = Duration.ofNanos(
                TimeConversions.toNanoseconds(Math.min(tasks / tasksPerSecond, /* maximumSeconds= */ 1e6)));
        if (estimate.compareTo(policy.minimumRetryDelay()) < 0) {
            return Optional.of(policy.minimumRetryDelay());
        }
        return Optional.of(estimate.compareTo(policy.maximumRetryDelay()) > 0 ? policy.maximumRetryDelay() : estimate);
    }

    private static Optional<AdmissionDecision.Refused> refuse(
            FailureReason reason, String detail, Optional<Duration> retryAfter) {
        return Optional.of(new AdmissionDecision.Refused(reason, detail, retryAfter));
    }
}
