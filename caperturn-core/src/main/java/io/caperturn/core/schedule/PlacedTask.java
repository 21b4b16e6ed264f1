package io.caperturn.core.schedule;

import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskKey;

/** Task that is placed at a back end. */
final class PlacedTask {
    private final TaskKey key;
    private final SubmissionQueue queue;
    private final KindPool.PoolMember member;
    /** The declared estimate, NaN if there is none. */
    private final double estimateSeconds;

    /** The expected slot time that was charged to the kind and the team. */
    private final double chargedSeconds;

    /** The time of the placement, in nanoseconds since the epoch. */
    private final long placedAt;

    /** The time of the next overdue check, in nanoseconds since the epoch. */
    private long overdueAt;

    private boolean overdue;
    private boolean finished;

    PlacedTask(
            TaskKey key,
            SubmissionQueue queue,
            KindPool.PoolMember member,
            double estimateSeconds,
            double chargedSeconds,
            long placedAt) {
        this.key = key;
        this.queue = queue;
        this.member = member;
        this.estimateSeconds = estimateSeconds;
        this.chargedSeconds = chargedSeconds;
        this.placedAt = placedAt;
    }

    TaskKey key() {
        return key;
    }

    SubmissionId submission() {
        return key.submission();
    }

    KindQueue kindQueue() {
        return queue.kindQueue();
    }

    TeamQueue team() {
        return queue.team();
    }

    KindPool.PoolMember member() {
        return member;
    }

    double estimateSeconds() {
        return estimateSeconds;
    }

    double chargedSeconds() {
        return chargedSeconds;
    }

    long placedAt() {
        return placedAt;
    }

    long overdueAt() {
        return overdueAt;
    }

    void setOverdueAt(long time) {
        overdueAt = time;
    }

    boolean isOverdue() {
        return overdue;
    }

    void markOverdue() {
        overdue = true;
    }

    boolean isFinished() {
        return finished;
    }

    void markFinished() {
        finished = true;
    }
}
