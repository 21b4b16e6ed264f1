package io.caperturn.jobs.owner;

import io.caperturn.jobs.message.JobFrame;
import io.caperturn.jobs.model.Resources;
import java.util.ArrayDeque;
import java.util.Deque;

/** What an entry knows of one sidecar and its upstream. */
final class SidecarView {
    private final String node;
    private final String incarnation;
    private final Deque<Sent> unseen = new ArrayDeque<>();
    private JobFrame.Status status;
    private boolean linked = true;
    private long lastLease;
    private long sequence;
    private int links;
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

    private record Sent(long sequence, Resources need, long work) {}

    String node() {
        return node;
    }

    String incarnation() {
        return incarnation;
    }

    boolean isLinked() {
        return linked;
    }

    void linked(boolean now) {
        linked = now;
        if (!now) {
            unseen.clear();
        }
    }

    void update(JobFrame.Status news, long now) {
        status = news;
        full = false;
        while (!unseen.isEmpty() && unseen.peek().sequence() <= news.dispatchesSeen()) {
            unseen.poll();
        }
        lastLease = now;
    }

    /** Tells when this entry last stood by its tasks there. */
    long lastLease() {
        return lastLease;
    }

    long nextSequence(Resources need, long work) {
        sequence++;
        unseen.add(new Sent(sequence, need, work));
        return sequence;
    }

    /** Begins to count dispatches anew, with a new link. */
    void relinked() {
        linked = true;
        links++;
        sequence = 0;
        unseen.clear();
    }

    /** Counts the links that there have been. */
    int links() {
        return links;
    }

    boolean isUsable() {
        return linked && status != null && status.usable();
    }

    JobFrame.Status status() {
        return status;
    }

    /** Notes that the sidecar had no room for a task, so its last word is out of date. */
    void refusedForRoom() {
        full = true;
    }

    /** Gives the room that is free there, less what is on its way; nothing from a refusal to the next word. */
    Resources free() {
        if (full) {
            return Resources.NONE;
        }
        Resources free = status.free();
        for (Sent sent : unseen) {
            free = free.minus(sent.need());
        }
        return free;
    }

    /** Gives the work that waits there or is on its way, in thousandths of a core times milliseconds. */
    long waitingWork() {
        return status.waitingWork() + unseen.stream().mapToLong(Sent::work).sum();
    }

    void succeeded() {
        failuresInRow = 0;
        successes++;
        ejectedUntil = 0;
        probing = false;
    }

    /** Counts a failed run, once for each job: a job that can't be done says nothing about the upstream. */
    int failed(String job) {
        probing = false;
        if (!job.equals(lastFailedJob)) {
            lastFailedJob = job;
            failuresInRow++;
        }
        return failuresInRow;
    }

    /** Notes that a run ended without telling whether the upstream is sound. */
    void undecided() {
        probing = false;
    }

    boolean isProven() {
        return successes > 0 && failuresInRow == 0;
    }

    void eject(long until) {
        ejectedUntil = until;
    }

    /** Tells whether no task should go there; after an ejection a single one may go as a probe. */
    boolean isEjected(long now) {
        return ejectedUntil > 0 && (now < ejectedUntil || probing);
    }

    boolean isOnProbation() {
        return ejectedUntil > 0;
    }

    void probe() {
        probing = true;
    }
}
