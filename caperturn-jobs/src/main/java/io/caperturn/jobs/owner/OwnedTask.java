package io.caperturn.jobs.owner;

import io.caperturn.jobs.message.TaskProgress;
import io.caperturn.jobs.model.RunFate;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.model.TaskIdentity;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * State of one task, as known to the entry that owns its job.
 *
 * <p>An entry is a process that accepts jobs and sends their tasks to sidecars, the processes beside the upstreams that
 * run tasks. A run is one attempt to run a task; later runs have higher numbers.
 */
final class OwnedTask {
    private final OwnedJob job;
    private final TaskIdentity identity;
    private final int number;
    private final StepPlan step;
    private final Set<String> failedNodes = new HashSet<>();
    private Phase phase = Phase.BLOCKED;
    private int currentRunNumber;
    /**
     * Highest number of a run that is known or reserved; a run of an earlier owner that is taken over has a lower one.
     */
    private int highestRunNumber;

    private String sidecarIncarnation = "";
    private long sentAt;
    private long expectedRunMilliseconds;
    private int dispatchLinkNumber;
    private long dispatchSequence;
    private RunHistory history = RunHistory.EMPTY;
    /** Number of failed runs in the history, which each assessment of a sidecar asks for. */
    private int failures;
    /**
     * Number of the run whose success was reported first, which is kept apart as nearly all tasks have just this one.
     */
    private int firstSuccessfulRun;

    /** Whether the next run has to be the only one on its upstream. */
    private boolean exclusiveRunRequired;
    /** Number of the last run that was sent as the only one to its upstream; 0 if none was. */
    private int lastExclusiveRun;

    private boolean stopOrdered;
    /** Whether the sidecar was asked to report the start of the current run. */
    private boolean startReportExpected;

    OwnedTask(OwnedJob job, TaskIdentity identity, int number, StepPlan step, int firstRunNumber) {
        this.job = job;
        this.identity = identity;
        this.number = number;
        this.step = step;
        this.highestRunNumber = firstRunNumber - 1;
        this.currentRunNumber = highestRunNumber;
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

    /** Records the number of a reported run, so that later runs get higher numbers. */
    void recordRunNumber(int runNumber) {
        highestRunNumber = Math.max(highestRunNumber, runNumber);
    }

    /**
     * Starts a new current run of the task, at a sidecar.
     *
     * @param incarnation identifier of the start of the sidecar
     * @param now time of the monotonic clock, in milliseconds
     * @param expectedMilliseconds expected duration of the run, in milliseconds
     * @return the new run
     */
    RunIdentity assignNextRun(String incarnation, long now, long expectedMilliseconds) {
        setCurrentRun(incarnation, highestRunNumber + 1, now, expectedMilliseconds);
        if (exclusiveRunRequired) {
            lastExclusiveRun = currentRunNumber;
        }
        return currentRun();
    }

    /**
     * Makes a run that was sent to a sidecar, or found there, the current one; parameters as in {@link #assignNextRun}.
     */
    void setCurrentRun(String incarnation, int runNumber, long now, long expectedMilliseconds) {
        currentRunNumber = runNumber;
        recordRunNumber(runNumber);
        sidecarIncarnation = incarnation;
        sentAt = now;
        expectedRunMilliseconds = expectedMilliseconds;
        stopOrdered = false;
        startReportExpected = false;
        phase = Phase.SENT;
    }

    /** Returns the incarnation (start) of the sidecar to which the task was last sent; empty if it was never sent. */
    String sidecarIncarnation() {
        return sidecarIncarnation;
    }

    /** Returns when the task was last sent, in milliseconds of the monotonic clock; 0 if it was never sent. */
    long sentAt() {
        return sentAt;
    }

    /** Returns the expected duration of the current run, in milliseconds. */
    long expectedRunMilliseconds() {
        return expectedRunMilliseconds;
    }

    /**
     * Records the position of the task among the dispatches to its sidecar.
     *
     * @param linkNumber number of the link over which it was sent, counted over all links to that sidecar
     * @param sequence sequence number of the dispatch on that link
     */
    void setDispatchPosition(int linkNumber, long sequence) {
        dispatchLinkNumber = linkNumber;
        dispatchSequence = sequence;
    }

    /** Returns whether the task was last sent over a link, given its number over all links to that sidecar. */
    boolean wasSentOverLink(int linkNumber) {
        return dispatchLinkNumber == linkNumber;
    }

    /** Returns the sequence number of the last dispatch of the task on its link. */
    long dispatchSequence() {
        return dispatchSequence;
    }

    /**
     * Returns whether this task was sent before a sidecar made an inventory, the list of all its runs: over an earlier
     * link (connection), or over the same link with a sequence number that the inventory includes. If such an inventory
     * does not list the task, the task has not arrived.
     *
     * @param linkNumber number of the link over which the inventory arrived
     * @param sequence highest sequence number of a dispatch that the inventory includes
     */
    boolean isCoveredByInventory(int linkNumber, long sequence) {
        return dispatchLinkNumber < linkNumber || dispatchLinkNumber == linkNumber && dispatchSequence <= sequence;
    }

    void setStartReportExpected(boolean expected) {
        startReportExpected = expected;
    }

    /** Returns whether the sidecar was asked to report the start of the current run. */
    boolean isStartReportExpected() {
        return startReportExpected;
    }

    /** Returns whether the sidecar was ordered to stop the current run because it had stalled. */
    boolean isStopOrdered() {
        return stopOrdered;
    }

    void markStopOrdered() {
        stopOrdered = true;
    }

    /** Returns the runs whose ends count. */
    RunHistory history() {
        return history;
    }

    /** Returns the number of failed runs. */
    int failures() {
        return failures;
    }

    private void setHistory(RunHistory newHistory) {
        history = newHistory;
        failures = newHistory.failures();
    }

    /** Returns whether the job of the task fails if the next run fails. */
    boolean isLastAttempt() {
        return failures() + 1 >= job.policy().maximumAttempts();
    }

    /** Returns the number of runs under which the upstream crashed. */
    int crashes() {
        return history.crashes();
    }

    /** Returns the number of runs that were lost in a crash, but are not known to have been active then. */
    int unconfirmedCrashes() {
        return history.unconfirmedCrashes();
    }

    /** Returns the stored form of the progress; the runs of a task that succeeded no longer matter. */
    TaskProgress progress() {
        boolean succeeded = phase == Phase.DONE;
        return new TaskProgress(number, succeeded, succeeded ? List.of() : history.toRanges());
    }

    /** Restores the stored progress of the task. */
    void restore(TaskProgress stored) {
        setHistory(RunHistory.of(stored.runs()));
        exclusiveRunRequired = CrashedRuns.isExclusiveRunRequiredAfter(crashes());
        recordRunNumber(history.highestRunNumber());
        if (stored.succeeded()) {
            phase = Phase.DONE;
        }
    }

    /**
     * Records a crash of the upstream under a run; returns whether it counts now and did not before.
     *
     * @param explained whether another task is the likely cause; of such crashes, one is not counted
     */
    boolean recordCrash(int runNumber, boolean explained) {
        if (history.isCrashKnown(runNumber)) {
            return false; // the cause was judged by what was known at the first report
        }
        int before = crashes();
        setHistory(history.with(runNumber, explained ? RunFate.CRASH_EXPLAINED : RunFate.CRASHED));
        return crashes() > before;
    }

    /** Takes back a crash under a run, confirmed or not; returns whether it had been counted. */
    boolean retractCrash(int runNumber) {
        int before = crashes() + unconfirmedCrashes();
        setHistory(history.with(runNumber, RunFate.CRASH_RETRACTED));
        boolean retracted = crashes() + unconfirmedCrashes() < before;
        if (retracted) {
            exclusiveRunRequired = CrashedRuns.isExclusiveRunRequiredAfter(crashes());
        }
        return retracted;
    }

    /** Records a run that was lost in a crash but not known to have been active; returns whether it counts anew. */
    boolean recordUnconfirmedCrash(int runNumber) {
        int before = unconfirmedCrashes();
        setHistory(history.with(runNumber, RunFate.LOST_UNCONFIRMED));
        return unconfirmedCrashes() > before;
    }

    /** Requires that the next runs are the only ones on their upstreams, because upstreams crashed under the task. */
    void requireExclusiveRun() {
        exclusiveRunRequired = true;
    }

    /** Returns whether the next run has to be the only one on its upstream. */
    boolean needsExclusiveRun() {
        return exclusiveRunRequired;
    }

    /** Returns whether the current run was sent as the only one to its upstream. */
    boolean isCurrentRunExclusive() {
        return wasExclusive(currentRunNumber);
    }

    /** Returns whether an upstream crashed under the last run that was sent as the only one. */
    boolean hasExclusiveRunCrashed() {
        return lastExclusiveRun != 0 && history.hasCrashed(lastExclusiveRun);
    }

    /** Returns whether a run was sent as the only one to its upstream. */
    boolean wasExclusive(int runNumber) {
        return lastExclusiveRun != 0 && lastExclusiveRun == runNumber;
    }

    /** Records a failed run on an instance; returns whether it counts now and did not before. */
    boolean recordFailure(int runNumber, String node) {
        failedNodes.add(node);
        int before = failures();
        setHistory(history.with(runNumber, RunFate.FAILED));
        return failures() > before;
    }

    /** Records a successful run; returns false if it was recorded before. */
    boolean recordSuccess(int runNumber) {
        if (firstSuccessfulRun == 0) {
            firstSuccessfulRun = runNumber;
            return true;
        }
        if (runNumber == firstSuccessfulRun) {
            return false;
        }
        RunHistory before = history;
        setHistory(history.with(runNumber, RunFate.SUCCEEDED));
        return history != before;
    }

    /** Returns the names of the instances on which runs of the task failed or stalled. */
    Set<String> failedNodes() {
        return failedNodes;
    }
}
