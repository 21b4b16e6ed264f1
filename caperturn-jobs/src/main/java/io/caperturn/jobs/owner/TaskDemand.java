package io.caperturn.jobs.owner;

import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;

/**
 * What a task asks of an upstream. If one of two tasks with equal demands can be sent to an upstream, so can the other,
 * unless their jobs differ in how far they are late or in how many tasks of their steps run there.
 *
 * @param queue policy of the queue of its job
 * @param resources resources that it needs
 * @param requiredLabel label that the upstream must have; empty for no requirement
 * @param exclusive whether it has to run alone
 * @param lastAttempt whether its job fails if its next run fails
 */
record TaskDemand(
        QueuePolicy queue, Resources resources, String requiredLabel, boolean exclusive, boolean lastAttempt) {
    /** Returns what a task asks for now. */
    static TaskDemand of(OwnedTask task) {
        return new TaskDemand(
                task.job().policy(),
                task.step().resourcesPerTask(),
                task.step().requiredLabel(),
                task.needsExclusiveRun(),
                task.isLastAttempt());
    }

    /** Returns whether this is still what a task asks for that asked for it when it was added to the backlog. */
    boolean isCurrentOf(OwnedTask task) {
        return exclusive == task.needsExclusiveRun() && lastAttempt == task.isLastAttempt();
    }

    /** Returns whether the upstream of a sidecar could run a task with this demand if nothing else ran there. */
    boolean fits(SidecarView sidecar) {
        return UpstreamSelector.fits(resources, requiredLabel, queue.service(), sidecar);
    }
}
