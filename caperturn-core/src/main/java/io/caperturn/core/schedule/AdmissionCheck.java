package io.caperturn.core.schedule;

import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.TaskSpec;
import java.time.Duration;
import java.util.Optional;

/** Checks whether a submission may enter the queues; returns a refusal or, if it may, an empty result. */
final class AdmissionCheck {
    private final SchedulerPolicy.AdmissionPolicy policy;

    AdmissionCheck(SchedulerPolicy.AdmissionPolicy policy) {
        this.policy = policy;
    }

    Optional<AdmissionDecision.Refused> check(Submission submission, KindState kind, LimitUsage team, long now) {
        return checkAdmissible(submission, kind, team)
                .or(() -> checkServed(kind, now))
                .or(() -> checkQueue(
                        submission, kind, kind.usage(), "kind " + kind.row().kind(), now))
                .or(() -> checkQueue(
                        submission, kind, team, "team " + submission.id().team(), now))
                .or(() ->
                        checkRate(submission, kind.usage(), "kind " + kind.row().kind(), now))
                .or(() -> checkRate(submission, team, "team " + submission.id().team(), now))
                .or(() -> checkDeadline(submission, kind, now));
    }

    /** Checks that the limits of the whole system allow the submission even when nothing else waits or runs. */
    private static Optional<AdmissionDecision.Refused> checkAdmissible(
            Submission submission, KindState kind, LimitUsage team) {
        int tasks = submission.tasks().size();
        if (kind.usage().forbidsStarts() || kind.usage().exceedsQueueLimit(tasks)) {
            return refuse(FailureReason.QUEUE_FULL, "the limits of its kind can never allow it", Optional.empty());
        }
        if (team.forbidsStarts() || team.exceedsQueueLimit(tasks)) {
            return refuse(FailureReason.QUEUE_FULL, "the limits of its team can never allow it", Optional.empty());
        }
        return Optional.empty();
    }

    private Optional<AdmissionDecision.Refused> checkServed(KindState kind, long now) {
        if (kind.updateUnservedTime(now) < policy.unservableGrace().toNanos()) {
            return Optional.empty();
        }
        return refuse(FailureReason.NO_UPSTREAM, "no upstream serves the kind", retryAfter(0, 0));
    }

    private Optional<AdmissionDecision.Refused> checkQueue(
            Submission submission, KindState kind, LimitUsage usage, String scope, long now) {
        long excessTasks = (long) usage.queued() + submission.tasks().size() - usage.queuedShare(now);
        if (excessTasks <= 0) {
            return Optional.empty();
        }
        return refuse(
                FailureReason.QUEUE_FULL,
                "the queue of " + scope + " is full",
                retryAfter(excessTasks, kind.drainRate().perSecond(now)));
    }

    /** Checks that the limit of starts per second lets all tasks start before the deadline, or within one second. */
    private Optional<AdmissionDecision.Refused> checkRate(
            Submission submission, LimitUsage usage, String scope, long now) {
        int startsPerSecond = usage.startRateShare(now);
        double secondsToStart = (double) (usage.queued() + submission.tasks().size()) / Math.max(1, startsPerSecond);
        double remainingSeconds = TimeConversions.toSeconds(TimeConversions.toNanoseconds(submission.deadline()) - now);
        if (secondsToStart <= Math.max(1, remainingSeconds)) {
            return Optional.empty();
        }
        return refuse(
                FailureReason.RATE_LIMITED,
                "the starts per second of " + scope + " do not suffice before the deadline",
                retryAfter(usage.queued(), startsPerSecond));
    }

    /** Checks that the submission can finish in time if it gets all slots that its kind may use. */
    private Optional<AdmissionDecision.Refused> checkDeadline(Submission submission, KindState kind, long now) {
        KindPool pool = kind.pool();
        if (kind.serviceTimes().samples() < policy.minimumSamples() || pool.servingSlots() == 0) {
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
        double minimumSeconds = pool.lowestSlowness() * Math.max(longestSeconds, totalSeconds / slots);
        double remainingSeconds = TimeConversions.toSeconds(TimeConversions.toNanoseconds(submission.deadline()) - now);
        if (minimumSeconds * policy.deadlineSafety() <= remainingSeconds) {
            return Optional.empty();
        }
        return refuse(FailureReason.DEADLINE, "it cannot finish before its deadline", Optional.empty());
    }

    /** Returns the time in which a number of tasks is processed at a rate, within the bounds of retry delays. */
    private Optional<Duration> retryAfter(long tasks, double perSecond) {
        if (perSecond <= 0) {
            return Optional.of(Duration.ofSeconds(1));
        }
        Duration estimate = Duration.ofNanos(TimeConversions.toNanoseconds(Math.min(tasks / perSecond, 1e6)));
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
