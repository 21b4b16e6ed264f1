package io.caperturn.core.schedule;

import io.caperturn.core.model.Repeatability;
import io.caperturn.core.model.Submission;
import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskSpec;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;

/** Waiting tasks of one submission; those with the longest declared estimate come first, except for retried tasks. */
final class SubmissionQueue {
    private static final Comparator<TaskSpec> LONGEST_FIRST = Comparator.comparing(
                    (TaskSpec task) -> task.estimate().orElse(Duration.ZERO))
            .reversed();

    private final Submission submission;
    private final KindQueue kindQueue;
    private final TeamQueue team;
    /** The time of enqueueing, in nanoseconds since the epoch. */
    private final long waitingSince;

    private final int sequence;
    private final Deque<TaskSpec> tasks;
    /** The sum of the declared estimates of the waiting tasks. */
    private double declaredSeconds;

    private double dueBy;

    SubmissionQueue(Submission submission, KindQueue kindQueue, TeamQueue team, long waitingSince, int sequence) {
        this.submission = submission;
        this.kindQueue = kindQueue;
        this.team = team;
        this.waitingSince = waitingSince;
        this.sequence = sequence;
        this.tasks = new ArrayDeque<>();
    }

    /** Returns the declared estimate of a task in seconds, NaN if it has none. */
    static double estimateSeconds(TaskSpec task) {
        return task.estimate().map(TimeConversions::toSeconds).orElse(Double.NaN);
    }

    SubmissionId id() {
        return submission.id();
    }

    Submission submission() {
        return submission;
    }

    KindQueue kindQueue() {
        return kindQueue;
    }

    TeamQueue team() {
        return team;
    }

    long waitingSince() {
        return waitingSince;
    }

    int sequence() {
        return sequence;
    }

    boolean isIdempotent() {
        return submission.repeatability() == Repeatability.IDEMPOTENT;
    }

    int size() {
        return tasks.size();
    }

    TaskSpec peek() {
        return tasks.peekFirst();
    }

    /**
     * Adds tasks. An empty queue is sorted by declared estimate, longest first; tasks that are added to a queue with
     * other tasks are retried ones and go in front of these.
     */
    void add(List<TaskSpec> more) {
        if (tasks.isEmpty()) {
            List<TaskSpec> ordered = new ArrayList<>(more);
            ordered.sort(LONGEST_FIRST);
            tasks.addAll(ordered);
        } else {
            more.forEach(tasks::addFirst);
        }
        more.forEach(task -> declaredSeconds += declaredSecondsOrZero(task));
    }

    TaskSpec poll() {
        TaskSpec task = tasks.pollFirst();
        declaredSeconds -= declaredSecondsOrZero(task);
        return task;
    }

    /** Returns the due time in seconds since the epoch; the submissions of a team are served in order of due time. */
    double dueBy() {
        return dueBy;
    }

    /**
     * Recomputes the due time: the time of enqueueing plus the stretch factor times the ideal time, which is that of
     * the waiting tasks when they use all slots of the kind. Call only while the submission is not in the order of its
     * team, which is sorted by due time.
     */
    void updateDueTime(double stretch) {
        KindState kind = kindQueue.kind();
        double declaredMeanSeconds = declaredSeconds > 0 ? declaredSeconds / tasks.size() : Double.NaN;
        double meanSeconds = kind.serviceTimes().expectedSeconds(declaredMeanSeconds);
        double rounds =
                Math.max(1, (double) tasks.size() / Math.max(1, kind.pool().totalSlots()));
        dueBy = TimeConversions.toSeconds(waitingSince) + stretch * meanSeconds * rounds;
    }

    private static double declaredSecondsOrZero(TaskSpec task) {
        double estimate = estimateSeconds(task);
        return Double.isNaN(estimate) ? 0 : estimate;
    }
}
