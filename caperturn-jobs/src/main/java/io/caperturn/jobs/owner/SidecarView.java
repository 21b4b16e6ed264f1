package io.caperturn.jobs.owner;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import java.util.ArrayDeque;
import java.util.Deque;

/** State of one sidecar (the process beside an upstream that starts its runs), as known to an entry. */
final class SidecarView {
    private final String node;
    private final String incarnation;
    private final Deque<UnacknowledgedDispatch> unacknowledged = new ArrayDeque<>();
    private JobFrame.Status status;
    private boolean linked = true;
    private long lastLeaseAt;
    private long lastSequence;
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

    /** Dispatch that the last status of the sidecar does not include yet. */
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

    /** Applies a status of the sidecar, which the entry answers with a lease renewal. */
    void update(JobFrame.Status newStatus, long now) {
        status = newStatus;
        full = false;
        while (!unacknowledged.isEmpty() && unacknowledged.peek().sequence() <= newStatus.dispatchesSeen()) {
            unacknowledged.poll();
        }
        lastLeaseAt = now;
    }

    /** Returns when this entry last renewed the lease on its runs there, in milliseconds of the monotonic clock. */
    long lastLeaseAt() {
        return lastLeaseAt;
    }

    /** Records a dispatch as not yet acknowledged; returns its sequence number on the current link. */
    long recordDispatch(Resources need, long work) {
        lastSequence++;
        unacknowledged.add(new UnacknowledgedDispatch(lastSequence, need, work));
        return lastSequence;
    }

    /** Handles a new link: dispatches are counted from 1 again. */
    void linkOpened() {
        linked = true;
        linkCount++;
        lastSequence = 0;
        unacknowledged.clear();
    }

    /** Returns how many links have been opened, which is also the number of the current link. */
    int linkCount() {
        return linkCount;
    }

    /** Returns whether the sidecar is linked and accepts new tasks. */
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

    /**
     * Returns the free capacity according to the last status, less the needs of dispatches that it does not include
     * yet; {@link Resources#NONE} after a refusal for lack of capacity, until the next status.
     */
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

    /**
     * Records a failure and returns the number of failures in a row. Successive failures of one job count once, because
     * a job that always fails says nothing about the upstream.
     */
    int recordFailure(String job) {
        probing = false;
        if (!job.equals(lastFailedJob)) {
            lastFailedJob = job;
            failuresInRow++;
        }
        return failuresInRow;
    }

    /** Ends a probe whose run ended without showing whether the upstream works, so that another may be sent. */
    void endProbe() {
        probing = false;
    }

    /** Returns whether a run has succeeded there and no failure has been counted since. */
    boolean isProven() {
        return successes > 0 && failuresInRow == 0;
    }

    /** Sends no tasks to the upstream until a time of the monotonic clock, in milliseconds. */
    void eject(long until) {
        ejectedUntil = until;
    }

    /**
     * Returns whether no task may be sent there: during an ejection, and after it while a single task runs as a probe.
     */
    boolean isEjected(long now) {
        return ejectedUntil > 0 && (now < ejectedUntil || probing);
    }

    /** Returns whether the upstream was ejected and no run has succeeded there since. */
    boolean isOnProbation() {
        return ejectedUntil > 0;
    }

    void startProbe() {
        probing = true;
    }
}
