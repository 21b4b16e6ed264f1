package io.caperturn.jobs.owner;

import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.model.TaskIdentity;
import java.util.HashSet;
import java.util.Set;

/** State of one task, as the owner of its job knows it. */
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
    private int sentOverLink;
    private long sentSequence;
    private int failures;
    private int lastFailedRun;
    private boolean withdrawn;

    OwnedTask(OwnedJob job, TaskIdentity identity, int number, StepPlan step, int firstRun) {
        this.job = job;
        this.identity = identity;
        this.number = number;
        this.step = step;
        this.currentRunNumber = firstRun - 1;
    }

    /** Phase of a task. */
    enum Phase {
        /** The task waits for other steps. */
        BLOCKED,
        /** The task waits for free capacity. */
        WAITING,
        /** The task was sent to a sidecar. */
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

    int currentRunNumber() {
        return currentRunNumber;
    }

    void noteRunNumber(int runNumber) {
        currentRunNumber = Math.max(currentRunNumber, runNumber);
    }

    /** Assigns the next run of the task to a sidecar. */
    RunIdentity assignNextRun(String incarnation, long now, long expectedMilliseconds) {
        currentRunNumber++;
        attach(incarnation, currentRunNumber, now, expectedMilliseconds);
        return currentRun();
    }

    /** Records that a run of the task is at a sidecar. */
    void attach(String incarnation, int runNumber, long now, long expectedMilliseconds) {
        currentRunNumber = Math.max(currentRunNumber, runNumber);
        sidecar = incarnation;
        sentAt = now;
        expectedRunMilliseconds = expectedMilliseconds;
        withdrawn = false;
        phase = Phase.SENT;
    }

    String sidecar() {
        return sidecar;
    }

    long sentAt() {
        return sentAt;
    }

    long expectedRunMilliseconds() {
        return expectedRunMilliseconds;
    }

    /**
     * Records the link over which the task was sent to its sidecar, and its sequence number among the dispatches of
     * that link.
     */
    void setDispatch(int link, long sequence) {
        sentOverLink = link;
        sentSequence = sequence;
    }

    /**
     * Returns whether what a sidecar reports on the dispatches of a link up to a sequence number also covers this task.
     */
    boolean isCoveredBy(int link, long sequence) {
        return sentOverLink < link || sentOverLink == link && sentSequence <= sequence;
    }

    boolean isWithdrawn() {
        return withdrawn;
    }

    void markWithdrawn() {
        withdrawn = true;
    }

    int failures() {
        return failures;
    }

    int lastFailedRun() {
        return lastFailedRun;
    }

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

    /** Returns the nodes at which runs of the task failed or stalled. */
    Set<String> failedNodes() {
        return failedNodes;
    }
}
