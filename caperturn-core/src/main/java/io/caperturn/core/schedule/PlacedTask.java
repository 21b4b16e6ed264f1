package io.caperturn.core.schedule;

import io.caperturn.core.model.SubmissionId;
import io.caperturn.core.model.TaskKey;

/**
 * Task that a scheduler placed at a back end: a sidecar process with its upstream. The pool of a kind of task holds the
 * back ends that serve this kind.
 *
 * <p>A task that takes much longer than expected is overdue.
 */
final class PlacedTask {
    private final TaskKey key;
    private final SubmissionQueue queue;
    private final KindPool.PoolMember poolMember;
    /** The declared estimate, NaN if there is none. */
    private final double estimateSeconds;

    /** Expected time in a slot of the upstream, which was added to the use by the kind of task and the team. */
    private final double chargedSeconds;

    /** The time of the placement, in nanoseconds since the epoch. */
    private final long placedAt;

    /** When to check whether the task is overdue, in nanoseconds since the epoch. */
    private long nextOverdueCheckAt;

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
        this.poolMember = member;
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

    TeamQueue teamQueue() {
        return queue.teamQueue();
    }

    KindPool.PoolMember poolMember() {
        return poolMember;
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

    long nextOverdueCheckAt() {
        return nextOverdueCheckAt;
    }

    void setNextOverdueCheckAt(long time) {
        nextOverdueCheckAt = time;
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
