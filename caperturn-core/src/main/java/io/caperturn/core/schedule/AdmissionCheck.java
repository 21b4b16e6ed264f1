package io.caperturn.core.schedule;

import io.caperturn.core.model.FailureReason;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.TaskSpec;
import java.time.Duration;
import java.util.Optional;

/** Check whether a submission may enter the queues, or why not and when it may come back. */
final class AdmissionCheck {
    private final SchedulerPolicy.Refusal policy;

    AdmissionCheck(SchedulerPolicy.Refusal policy) {
        this.policy = policy;
    }

    Optional<AdmissionDecision.Refused> check(Submission submission, KindState kind, LimitUsage team, long now) {
        return checkPossible(submission, kind, team)
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

    private static Optional<AdmissionDecision.Refused> checkPossible(Submission submission, KindState kind, LimitUsage team) {
        int tasks = submission.tasks().size();
        if (kind.usage().neverStarts() || kind.usage().neverQueues(tasks)) {
            return refuse(FailureReason.QUEUE_FULL, "more than the limits of its kind ever allow", Optional.empty());
        }
        if (team.neverStarts() || team.neverQueues(tasks)) {
            return refuse(FailureReason.QUEUE_FULL, "more than the limits of its team ever allow", Optional.empty());
        }
        return Optional.empty();
    }

    private Optional<AdmissionDecision.Refused> checkServed(KindState kind, long now) {
        if (kind.unservedFor(now) < policy.unservableGrace().toNanos()) {
            return Optional.empty();
        }
        return refuse(FailureReason.NO_UPSTREAM, "no upstream serves the kind", retryAfter(0, 0));
    }

    private Optional<AdmissionDecision.Refused> checkQueue(
            Submission submission, KindState kind, LimitUsage usage, String whose, long now) {
        long excess = (long) usage.queued() + submission.tasks().size() - usage.queuedShare(now);
        if (excess <= 0) {
            return Optional.empty();
        }
        return refuse(
                FailureReason.QUEUE_FULL,
                "the queue of " + whose + " is full",
                retryAfter(excess, kind.drain().perSecond(now)));
    }

    private Optional<AdmissionDecision.Refused> checkRate(Submission submission, LimitUsage usage, String whose, long now) {
        int rate = usage.rateShare(now);
        double seconds = (double) (usage.queued() + submission.tasks().size()) / Math.max(1, rate);
        double left = TimeUnits.seconds(TimeUnits.nanoseconds(submission.deadline()) - now);
        if (seconds <= Math.max(1, left)) {
            return Optional.empty();
        }
        return refuse(
                FailureReason.RATE_LIMITED,
                "the starts per second of " + whose + " don't suffice before the deadline",
                retryAfter(usage.queued(), rate));
    }

    private Optional<AdmissionDecision.Refused> checkDeadline(Submission submission, KindState kind, long now) {
        KindPool pool = kind.pool();
        if (kind.speeds().samples() < policy.minimumSamples() || pool.servingSlots() == 0) {
            return Optional.empty();
        }
        double sum = 0;
        double longest = 0;
        for (TaskSpec task : submission.tasks()) {
            double seconds = kind.speeds().expectedSeconds(SubmissionQueue.estimateSeconds(task));
            sum += seconds;
            longest = Math.max(longest, seconds);
        }
        int slots = Math.max(1, Math.min(pool.servingSlots(), kind.usage().runningShare(now)));
        double ideal = pool.fastestSlowness() * Math.max(longest, sum / slots);
        double left = TimeUnits.seconds(TimeUnits.nanoseconds(submission.deadline()) - now);
        if (ideal * policy.deadlineSafety() <= left) {
            return Optional.empty();
        }
        return refuse(FailureReason.DEADLINE, "it can't end before its deadline", Optional.empty());
    }

    private Optional<Duration> retryAfter(long tasks, double perSecond) {
        if (perSecond <= 0) {
            return Optional.of(Duration.ofSeconds(1));
        }
        Duration estimate = Duration.ofNanos(TimeUnits.nanoseconds(Math.min(tasks / perSecond, 1e6)));
        if (estimate.compareTo(policy.shortestRetry()) < 0) {
            return Optional.of(policy.shortestRetry());
        }
        return Optional.of(estimate.compareTo(policy.longestRetry()) > 0 ? policy.longestRetry() : estimate);
    }

    private static Optional<AdmissionDecision.Refused> refuse(
            FailureReason reason, String detail, Optional<Duration> retryAfter) {
        return Optional.of(new AdmissionDecision.Refused(reason, detail, retryAfter));
    }
}
