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

/** Waiting tasks of one submission, the longest first. */
final class SubmissionQueue {
    private static final Comparator<TaskSpec> LONGEST_FIRST = Comparator.comparing(
                    (TaskSpec task) -> task.estimate().orElse(Duration.ZERO))
            .reversed();

    private final Submission submission;
    private final KindQueue kindQueue;
    private final TeamQueue team;
    private final long waitingSince;
    private final int sequence;
    private final Deque<TaskSpec> tasks;
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

    /** Adds tasks: the longest first if the queue is empty, otherwise in front of the others, as for a retry. */
    void add(List<TaskSpec> more) {
        if (tasks.isEmpty()) {
            List<TaskSpec> ordered = new ArrayList<>(more);
            ordered.sort(LONGEST_FIRST);
            tasks.addAll(ordered);
        } else {
            more.forEach(tasks::addFirst);
        }
        more.forEach(task -> declaredSeconds += declaredOrZeroSeconds(task));
    }

    TaskSpec poll() {
        TaskSpec task = tasks.pollFirst();
        declaredSeconds -= declaredOrZeroSeconds(task);
        return task;
    }

    /** Returns the due time in seconds since the epoch; the submissions of a team are served in order of due time. */
    double dueBy() {
        return dueBy;
    }

    /** Recomputes the due time; call only while the submission is out of its team's order, which is sorted by it. */
    void updateDueTime(double stretch) {
        KindState kind = kindQueue.kind();
        double declaredMean = declaredSeconds > 0 ? declaredSeconds / tasks.size() : Double.NaN;
        double mean = kind.serviceTimes().expectedSeconds(declaredMean);
        double rounds =
                Math.max(1, (double) tasks.size() / Math.max(1, kind.pool().totalSlots()));
        dueBy = TimeConversions.toSeconds(waitingSince) + stretch * mean * rounds;
    }

    private static double declaredOrZeroSeconds(TaskSpec task) {
        double estimate = estimateSeconds(task);
        return Double.isNaN(estimate) ? 0 : estimate;
    }
}
