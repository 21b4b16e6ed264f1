package io.caperturn.jobs.owner;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.zone.ZoneEvacuations;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/**
 * State of one sidecar, as known to an entry.
 *
 * <p>An entry is a process that accepts jobs and dispatches their tasks to sidecars. A sidecar is the process beside an
 * upstream; it orders the upstream to run tasks, and reports the free capacity in periodic status messages. It stops
 * the tasks of an entry that does not renew its lease on them.
 */
final class SidecarView {
    /**
     * Maximum time in which a dispatched task counts as on its way to the sidecar, in milliseconds: after it, the
     * sidecar tells the work that waits unless the entry knows it.
     */
    private static final long MAXIMUM_TRANSIT_MILLISECONDS = 20;

    private final String node;
    private final String incarnation;
    private final String zone;
    private final ZoneEvacuations evacuations;
    private final Deque<UnacknowledgedDispatch> unacknowledged = new ArrayDeque<>();
    private JobFrame.Status status;
    private boolean linked = true;
    private long leaseSentAt;
    private long statusReceivedAt;
    /** Until when the upstream is or was slow after its start, in milliseconds of the monotonic clock. */
    private long coldUntil;
    /** Resources of runs that have ended since the last status. */
    private Resources released = Resources.NONE;

    private long lastSequence;
    private int currentLinkNumber;
    private UpstreamHealth health = UpstreamHealth.UNKNOWN;
    private boolean statusOutdated;

    SidecarView(JobFrame.Hello hello, ZoneEvacuations evacuations) {
        this(hello.node(), hello.incarnation(), hello.zone(), evacuations);
    }

    private SidecarView(String node, String incarnation, String zone, ZoneEvacuations evacuations) {
        this.node = node;
        this.incarnation = incarnation;
        this.zone = zone;
        this.evacuations = evacuations;
    }

    /** Returns a copy, whose changes leave this view as it is. */
    SidecarView copy() {
        SidecarView copy = new SidecarView(node, incarnation, zone, evacuations);
        copy.unacknowledged.addAll(unacknowledged);
        copy.status = status;
        copy.linked = linked;
        copy.leaseSentAt = leaseSentAt;
        copy.statusReceivedAt = statusReceivedAt;
        copy.coldUntil = coldUntil;
        copy.released = released;
        copy.lastSequence = lastSequence;
        copy.currentLinkNumber = currentLinkNumber;
        copy.health = health;
        copy.statusOutdated = statusOutdated;
        return copy;
    }

    /**
     * Dispatched task that the last status of the sidecar does not include yet.
     *
     * @param sequence sequence number of the dispatch on the current link, from 1
     * @param resources resources that the task needs
     * @param work estimated work of the task, in thousandths of a core times milliseconds
     * @param sentAt time of the dispatch by the monotonic clock, in milliseconds
     */
    private record UnacknowledgedDispatch(long sequence, Resources resources, long work, long sentAt) {}

    /** Returns the name of the instance on which the sidecar runs. */
    String node() {
        return node;
    }

    /** Returns the identifier of this start of the sidecar. */
    String incarnation() {
        return incarnation;
    }

    boolean isLinked() {
        return linked;
    }

    /** Records whether there is a link to the sidecar. */
    void setLinked(boolean linkedNow) {
        linked = linkedNow;
        if (!linkedNow) {
            unacknowledged.clear();
        }
    }

    /** Returns the number of the upstream's incarnation that the last status tells; 0 if none tells it. */
    long upstreamNumber() {
        return status == null ? 0 : status.upstreamNumber();
    }

    /** Returns whether a status is about another incarnation of the upstream than the last one. */
    boolean isOfAnotherUpstream(JobFrame.Status newStatus) {
        return status != null && status.upstreamNumber() != newStatus.upstreamNumber();
    }

    /**
     * Applies a status of the sidecar, which includes all dispatches up to the sequence number {@code dispatchesSeen}.
     * The entry renews its lease at once if the status requests it.
     */
    void updateStatus(JobFrame.Status newStatus, long now) {
        status = newStatus;
        statusReceivedAt = now;
        coldUntil = newStatus.coldMilliseconds() > 0
                ? now + newStatus.coldMilliseconds()
                : Math.min(coldUntil, now); // a warm incarnation may have replaced a cold one
        released = Resources.NONE;
        statusOutdated = false;
        while (!unacknowledged.isEmpty() && unacknowledged.peek().sequence() <= newStatus.dispatchesSeen()) {
            unacknowledged.poll();
        }
        if (newStatus.renewal() != JobFrame.Status.NO_RENEWAL) {
            leaseSentAt = now;
        }
    }

    /**
     * Applies what a report on a run tells of the room at the sidecar; returns whether there may be more of it. An
     * older build tells no room; only the resources of the run are then known to be free.
     *
     * @param report the report
     * @param current the task of the run; empty if the run is not the task's current one
     * @param now time of the monotonic clock, in milliseconds
     */
    boolean applyRoom(JobFrame.Report report, Optional<OwnedTask> current, long now) {
        if (report.room().isPresent()) {
            if (status != null) {
                updateStatus(status.withRoom(report.room().get(), coldMilliseconds(now)), now);
            }
            return true;
        }
        if (current.isEmpty() || !report.outcome().isFinished()) {
            return false;
        }
        if (report.outcome() == RunOutcome.REFUSED) {
            statusOutdated |= report.reason().equals(JobFrame.Report.NO_ROOM);
            return false;
        }
        OwnedTask task = current.get();
        boolean sameLink = task.wasSentOverLink(currentLinkNumber);
        recordRunEnd(sameLink ? task.dispatchSequence() : 0, task.step().resourcesPerTask());
        return true;
    }

    /**
     * Returns when the last news of room, from a status or a report, arrived, in milliseconds of the monotonic clock; 0
     * before the first.
     */
    long statusReceivedAt() {
        return statusReceivedAt;
    }

    /** Returns when the entry last renewed its lease, in milliseconds of the monotonic clock; 0 if it never did. */
    long leaseSentAt() {
        return leaseSentAt;
    }

    /** Records a dispatch that no status includes yet; returns its sequence number on the current link. */
    long recordDispatch(Resources resources, long work, long now) {
        lastSequence++;
        unacknowledged.add(new UnacknowledgedDispatch(lastSequence, resources, work, now));
        return lastSequence;
    }

    /**
     * Records that a run has ended, whose resources are therefore free before the next status.
     *
     * @param sequence sequence number of its dispatch on the current link; 0 if it was sent over another link
     * @param resources resources that the run needed
     */
    private void recordRunEnd(long sequence, Resources resources) {
        if (!unacknowledged.removeIf(dispatch -> dispatch.sequence() == sequence)) {
            released = released.plus(resources);
        }
    }

    /** Handles a new link (connection), on which dispatches are numbered from 1 again. */
    void linkOpened() {
        linked = true;
        currentLinkNumber++;
        lastSequence = 0;
        unacknowledged.clear();
    }

    /** Returns the number of the current link, counted from 1 over all links to this incarnation of the sidecar. */
    int currentLinkNumber() {
        return currentLinkNumber;
    }

    /** Returns whether the sidecar is linked, accepts new tasks, and is in a zone that is not evacuated. */
    boolean isUsable() {
        return linked && status != null && status.usable() && !isEvacuated();
    }

    /** Returns whether the upstream was expected to be slow after its start at a time of the monotonic clock. */
    boolean wasColdAt(long time) {
        return time < coldUntil;
    }

    /** Returns whether the availability zone of the sidecar is known to be evacuated. */
    boolean isEvacuated() {
        return evacuations.contains(zone);
    }

    /**
     * Returns how much longer the upstream is expected to be slow after its start, in milliseconds; 0 if it is warm.
     */
    long coldMilliseconds(long now) {
        return Math.max(0, coldUntil - now);
    }

    /** Returns the last status, or null before the first. */
    JobFrame.Status status() {
        return status;
    }

    /** Records that the sidecar refused a task that its last status let expect to start. */
    void markStatusOutdated() {
        statusOutdated = true;
    }

    /**
     * Returns the free capacity according to the last status, plus the resources of runs that have ended since, less
     * those of dispatches that it does not include yet; {@link Resources#NONE} after a refusal that shows the status to
     * be out of date, until the next status.
     */
    Resources freeResources() {
        if (statusOutdated) {
            return Resources.NONE;
        }
        Resources free = status.free().plus(released);
        for (UnacknowledgedDispatch dispatch : unacknowledged) {
            free = free.minus(dispatch.resources());
        }
        return free;
    }

    /**
     * Returns the work of the tasks that wait at the sidecar or are on their way to it, in thousandths of a core times
     * milliseconds, at a time of the monotonic clock. A task that was dispatched earlier has arrived; the sidecar sends
     * news of it only if it had to wait.
     */
    long waitingWork(long now) {
        return status.waitingWork()
                + unacknowledged.stream()
                        .filter(dispatch -> now - dispatch.sentAt() <= MAXIMUM_TRANSIT_MILLISECONDS)
                        .mapToLong(UnacknowledgedDispatch::work)
                        .sum();
    }

    /** Returns the health of the upstream, as known from the outcomes of runs. */
    UpstreamHealth health() {
        return health;
    }

    void setHealth(UpstreamHealth newHealth) {
        health = newHealth;
    }
}
