package io.caperturn.core.schedule;

import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskKey;

/** A task at a back end. */
final class PlacedTask {
    private final TaskKey key;
    private final SubmissionQueue queue;
    private final KindPool.Seat seat;
    private final double estimateSeconds;
    private final double chargedSeconds;
    private final long placedAt;
    private long overdueAt;
    private boolean overdue;
    private boolean ended;

    PlacedTask(
            TaskKey key,
            SubmissionQueue queue,
            KindPool.Seat seat,
            double estimateSeconds,
            double chargedSeconds,
            long placedAt) {
        this.key = key;
        this.queue = queue;
        this.seat = seat;
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

    Lane lane() {
        return queue.lane();
    }

    TeamQueue team() {
        return queue.team();
    }

    KindPool.Seat seat() {
        return seat;
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

    void overdueAt(long time) {
        overdueAt = time;
    }

    boolean isOverdue() {
        return overdue;
    }

    void overdue() {
        overdue = true;
    }

    boolean hasEnded() {
        return ended;
    }

    void end() {
        ended = true;
    }
}
