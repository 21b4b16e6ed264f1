package io.caperturn.jobs.owner;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import java.util.ArrayDeque;
import java.util.Deque;

/** State of one sidecar and its upstream, as an entry knows it. */
final class SidecarView {
    private final String node;
    private final String incarnation;
    private final Deque<UnacknowledgedDispatch> unacknowledged = new ArrayDeque<>();
    private JobFrame.Status status;
    private boolean linked = true;
    private long lastLeaseAt;
    private long sequence;
    private int linkCount;
    private int failuresInRow;
    private long successes;
    private long ejectedUntil;
    private boolean probing;
    private String lastFailedJob = "";
    private boolean full;

    SidecarView(String node, String incarnation) {
        this.node = node;
        this.incarnation = incarnation;
    }

    private record UnacknowledgedDispatch(long sequence, Resources need, long work) {}

    String node() {
        return node;
    }

    String incarnation() {
        return incarnation;
    }

    boolean isLinked() {
        return linked;
    }

    void setLinked(boolean linkedNow) {
        linked = linkedNow;
        if (!linkedNow) {
            unacknowledged.clear();
        }
    }

    void update(JobFrame.Status newStatus, long now) {
        status = newStatus;
        full = false;
        while (!unacknowledged.isEmpty() && unacknowledged.peek().sequence() <= newStatus.dispatchesSeen()) {
            unacknowledged.poll();
        }
        lastLeaseAt = now;
    }

    /** Returns when this entry last renewed the lease of its tasks there. */
    long lastLeaseAt() {
        return lastLeaseAt;
    }

    long nextSequence(Resources need, long work) {
        sequence++;
        unacknowledged.add(new UnacknowledgedDispatch(sequence, need, work));
        return sequence;
    }

    /** Handles a new link: dispatches are counted from 1 again. */
    void linkOpened() {
        linked = true;
        linkCount++;
        sequence = 0;
        unacknowledged.clear();
    }

    /** Returns the number of links that were opened. */
    int linkCount() {
        return linkCount;
    }

    boolean isUsable() {
        return linked && status != null && status.usable();
    }

    JobFrame.Status status() {
        return status;
    }

    /** Records that the sidecar refused a task for lack of capacity, so its last status is out of date. */
    void markFull() {
        full = true;
    }

    /** Returns the free capacity less dispatches not yet acknowledged; none from a refusal to the next status. */
    Resources free() {
        if (full) {
            return Resources.NONE;
        }
        Resources free = status.free();
        for (UnacknowledgedDispatch dispatch : unacknowledged) {
            free = free.minus(dispatch.need());
        }
        return free;
    }

    /**
     * Returns the work that waits at the sidecar or is on its way there, in thousandths of a core times milliseconds.
     */
    long waitingWork() {
        return status.waitingWork()
                + unacknowledged.stream()
                        .mapToLong(UnacknowledgedDispatch::work)
                        .sum();
    }

    void recordSuccess() {
        failuresInRow = 0;
        successes++;
        ejectedUntil = 0;
        probing = false;
    }

    /** Counts failures in a row, once for each job: a job that always fails says nothing about the upstream. */
    int recordFailure(String job) {
        probing = false;
        if (!job.equals(lastFailedJob)) {
            lastFailedJob = job;
            failuresInRow++;
        }
        return failuresInRow;
    }

    /** Ends a probe by a run that ended without showing whether the upstream works. */
    void endProbe() {
        probing = false;
    }

    boolean isProven() {
        return successes > 0 && failuresInRow == 0;
    }

    void eject(long until) {
        ejectedUntil = until;
    }

    /** Returns whether no task may be sent there; after an ejection, a single task may be sent as a probe. */
    boolean isEjected(long now) {
        return ejectedUntil > 0 && (now < ejectedUntil || probing);
    }

    boolean isOnProbation() {
        return ejectedUntil > 0;
    }

    void startProbe() {
        probing = true;
    }
}
