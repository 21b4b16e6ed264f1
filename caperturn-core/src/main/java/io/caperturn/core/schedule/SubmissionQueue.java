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

/**
 * Waiting tasks of one submission: retried tasks first, then the others by declared estimate, longest first. A team's
 * submissions are ordered by due time.
 */
final class SubmissionQueue {
    private static final Comparator<TaskSpec> LONGEST_ESTIMATE_FIRST = Comparator.comparing(
                    (TaskSpec task) -> task.estimate().orElse(Duration.ZERO))
            .reversed();

    private final Submission submission;
    private final KindQueue kindQueue;
    private final TeamQueue teamQueue;
    /** When the submission was enqueued, in nanoseconds since the epoch. */
    private final long waitingSince;

    /** Breaks ties between equal due times; lowest first. */
    private final int sequenceNumber;

    private final Deque<TaskSpec> tasks;
    /** The sum of the declared estimates of the waiting tasks. */
    private double declaredSeconds;

    private double dueAtSeconds;

    SubmissionQueue(
            Submission submission, KindQueue kindQueue, TeamQueue teamQueue, long waitingSince, int sequenceNumber) {
        this.submission = submission;
        this.kindQueue = kindQueue;
        this.teamQueue = teamQueue;
        this.waitingSince = waitingSince;
        this.sequenceNumber = sequenceNumber;
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

    TeamQueue teamQueue() {
        return teamQueue;
    }

    long waitingSince() {
        return waitingSince;
    }

    int sequenceNumber() {
        return sequenceNumber;
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
     * Adds tasks. Those added to an empty queue are sorted by declared estimate, longest first; those added to a queue
     * that has tasks are retried ones and go to its front.
     */
    void add(List<TaskSpec> addedTasks) {
        if (tasks.isEmpty()) {
            List<TaskSpec> ordered = new ArrayList<>(addedTasks);
            ordered.sort(LONGEST_ESTIMATE_FIRST);
            tasks.addAll(ordered);
        } else {
            addedTasks.forEach(tasks::addFirst);
        }
        addedTasks.forEach(task -> declaredSeconds += declaredSecondsOrZero(task));
    }

    TaskSpec poll() {
        TaskSpec task = tasks.pollFirst();
        declaredSeconds -= declaredSecondsOrZero(task);
        return task;
    }

    /** Returns the due time in seconds since the epoch. */
    double dueAtSeconds() {
        return dueAtSeconds;
    }

    /**
     * Recomputes the due time: when the submission was enqueued, plus a factor times its ideal time. The ideal time is
     * the expected run time of its waiting tasks on all slots of the kind of task. Call only while the submission is
     * not in the queue of its team, which is sorted by due time.
     */
    void updateDueTime(double dueTimeFactor) {
        KindState kind = kindQueue.kind();
        double declaredMeanSeconds = declaredSeconds > 0 ? declaredSeconds / tasks.size() : Double.NaN;
        double meanSeconds = kind.serviceTimes().expectedSeconds(declaredMeanSeconds);
        // The number of tasks that each slot runs one after the other.
        double rounds =
                Math.max(1, (double) tasks.size() / Math.max(1, kind.pool().totalCapacity()));
        dueAtSeconds = TimeConversions.toSeconds(waitingSince) + dueTimeFactor * meanSeconds * rounds;
    }

    private static double declaredSecondsOrZero(TaskSpec task) {
        double estimate = estimateSeconds(task);
        return Double.isNaN(estimate) ? 0 : estimate;
    }
}
