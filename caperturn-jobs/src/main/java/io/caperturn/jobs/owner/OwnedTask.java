package io.caperturn.jobs.owner;

import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.model.TaskIdentity;
import java.util.HashSet;
import java.util.Set;

/** State of one task, as known to the entry that owns its job. */
final class OwnedTask {
    private final OwnedJob job;
    private final TaskIdentity identity;
    private final int number;
    private final StepPlan step;
    private final Set<String> failedNodes = new HashSet<>();
    private Phase phase = Phase.BLOCKED;
    private int currentRunNumber;
    private String sidecar = "";
    private long sentAt;
    private long expectedRunMilliseconds;
    private int sentLinkNumber;
    private long sentSequence;
    private int failures;
    private int lastFailedRun;
    private boolean withdrawn;

    OwnedTask(OwnedJob job, TaskIdentity identity, int number, StepPlan step, int firstRunNumber) {
        this.job = job;
        this.identity = identity;
        this.number = number;
        this.step = step;
        this.currentRunNumber = firstRunNumber - 1;
    }

    /** Phase of a task. */
    enum Phase {
        /** The task waits until the steps on which it depends have succeeded. */
        BLOCKED,
        /** The task waits for free capacity. */
        WAITING,
        /** The task was sent to a sidecar, and no success has been reported. */
        SENT,
        /** The task succeeded. */
        DONE
    }

    OwnedJob job() {
        return job;
    }

    TaskIdentity identity() {
        return identity;
    }

    /** Returns the number of the task, counted over all steps of its job. */
    int number() {
        return number;
    }

    StepPlan step() {
        return step;
    }

    Phase phase() {
        return phase;
    }

    boolean isIn(Phase expectedPhase) {
        return phase == expectedPhase;
    }

    void setPhase(Phase next) {
        phase = next;
    }

    RunIdentity currentRun() {
        return new RunIdentity(identity, currentRunNumber);
    }

    /** Returns the number of the current run, or the highest one known if no run is current. */
    int currentRunNumber() {
        return currentRunNumber;
    }

    /** Raises the current run number to that of a reported run, so that later runs get higher numbers. */
    void raiseRunNumber(int runNumber) {
        currentRunNumber = Math.max(currentRunNumber, runNumber);
    }

    /** Assigns the next run of the task to a sidecar. */
    RunIdentity assignNextRun(String incarnation, long now, long expectedMilliseconds) {
        currentRunNumber++;
        attach(incarnation, currentRunNumber, now, expectedMilliseconds);
        return currentRun();
    }

    /** Records that a run of the task was sent to a sidecar or found there. */
    void attach(String incarnation, int runNumber, long now, long expectedMilliseconds) {
        currentRunNumber = Math.max(currentRunNumber, runNumber);
        sidecar = incarnation;
        sentAt = now;
        expectedRunMilliseconds = expectedMilliseconds;
        withdrawn = false;
        phase = Phase.SENT;
    }

    /** Returns the incarnation of the sidecar to which the task was last sent; empty if it was never sent. */
    String sidecar() {
        return sidecar;
    }

    /** Returns when the task was last sent, in milliseconds of the monotonic clock; 0 if it was never sent. */
    long sentAt() {
        return sentAt;
    }

    long expectedRunMilliseconds() {
        return expectedRunMilliseconds;
    }

    /**
     * Records how the task was sent to its sidecar.
     *
     * @param linkNumber number of the link over which it was sent, counted over all links to that sidecar
     * @param sequence sequence number of the dispatch on that link
     */
    void setDispatch(int linkNumber, long sequence) {
        sentLinkNumber = linkNumber;
        sentSequence = sequence;
    }

    /**
     * Returns whether a sidecar's inventory accounts for this task, because the task was sent before: over an earlier
     * link, or over the same link with a sequence number that the inventory includes.
     *
     * @param linkNumber number of the link over which the inventory arrived
     * @param sequence highest sequence number of a dispatch that the inventory includes
     */
    boolean isCoveredBy(int linkNumber, long sequence) {
        return sentLinkNumber < linkNumber || sentLinkNumber == linkNumber && sentSequence <= sequence;
    }

    /** Returns whether the sidecar was ordered to stop the current run because it had stalled. */
    boolean isWithdrawn() {
        return withdrawn;
    }

    void markWithdrawn() {
        withdrawn = true;
    }

    int failures() {
        return failures;
    }

    /** Returns the number of the last run that failed; 0 if none did. */
    int lastFailedRun() {
        return lastFailedRun;
    }

    /** Restores the stored progress of the task. */
    void restore(boolean done, int failureCount, int lastFailedRunNumber) {
        failures = failureCount;
        lastFailedRun = lastFailedRunNumber;
        currentRunNumber = Math.max(currentRunNumber, lastFailedRunNumber);
        if (done) {
            phase = Phase.DONE;
        }
    }

    /** Counts a failed run; returns false if it was counted before. */
    boolean recordFailure(int runNumber, String node) {
        failedNodes.add(node);
        if (runNumber <= lastFailedRun) {
            return false;
        }
        lastFailedRun = runNumber;
        failures++;
        return true;
    }

    /** Returns the names of the instances on which runs of the task failed or stalled. */
    Set<String> failedNodes() {
        return failedNodes;
    }
}
