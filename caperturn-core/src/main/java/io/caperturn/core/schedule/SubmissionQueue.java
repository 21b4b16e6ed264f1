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
    private final Lane lane;
    private final TeamQueue team;
    private final long since;
    private final int sequence;
    private final Deque<TaskSpec> tasks;
    private double declaredSeconds;
    private double dueBy;

    SubmissionQueue(Submission submission, Lane lane, TeamQueue team, long since, int sequence) {
        this.submission = submission;
        this.lane = lane;
        this.team = team;
        this.since = since;
        this.sequence = sequence;
        this.tasks = new ArrayDeque<>();
    }

    /** Returns the declared time of a task in seconds, not a number if there is none. */
    static double estimateSeconds(TaskSpec task) {
        return task.estimate().map(TimeUnits::seconds).orElse(Double.NaN);
    }

    SubmissionId id() {
        return submission.id();
    }

    Submission submission() {
        return submission;
    }

    Lane lane() {
        return lane;
    }

    TeamQueue team() {
        return team;
    }

    long since() {
        return since;
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

    TaskSpec first() {
        return tasks.peekFirst();
    }

    void add(List<TaskSpec> more) {
        if (tasks.isEmpty()) {
            List<TaskSpec> ordered = new ArrayList<>(more);
            ordered.sort(LONGEST_FIRST);
            tasks.addAll(ordered);
        } else {
            more.forEach(tasks::addFirst);
        }
        more.forEach(task -> declaredSeconds += declared(task));
    }

    TaskSpec poll() {
        TaskSpec task = tasks.pollFirst();
        declaredSeconds -= declared(task);
        return task;
    }

    /** Returns the time by which the submission should be served, by which submissions of a team are ordered. */
    double dueBy() {
        return dueBy;
    }

    /** Works out anew by when the submission should be served; only while it is out of its team's order. */
    void updateDue(double stretch) {
        KindState kind = lane.kind();
        double declaredMean = declaredSeconds > 0 ? declaredSeconds / tasks.size() : Double.NaN;
        double mean = kind.speeds().expectedSeconds(declaredMean);
        double rounds =
                Math.max(1, (double) tasks.size() / Math.max(1, kind.pool().totalSlots()));
        dueBy = TimeUnits.seconds(since) + stretch * mean * rounds;
    }

    private static double declared(TaskSpec task) {
        double estimate = estimateSeconds(task);
        return Double.isNaN(estimate) ? 0 : estimate;
    }
}
