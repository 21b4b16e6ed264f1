package io.caperturn.jobs.owner;

import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.model.TaskIdentity;
import java.util.HashSet;
import java.util.Set;

/** One task of a job, as the job's owner knows it. */
final class OwnedTask {
    private final OwnedJob job;
    private final TaskIdentity identity;
    private final int number;
    private final StepPlan step;
    private final Set<String> failedAt = new HashSet<>();
    private Phase phase = Phase.BLOCKED;
    private int run;
    private String sidecar = "";
    private long sentAt;
    private long expected;
    private int sentOverLink;
    private long sentSequence;
    private int failures;
    private int lastFailure;
    private boolean withdrawn;

    OwnedTask(OwnedJob job, TaskIdentity identity, int number, StepPlan step, int firstRun) {
        this.job = job;
        this.identity = identity;
        this.number = number;
        this.step = step;
        this.run = firstRun - 1;
    }

    /** Where a task stands. */
    enum Phase {
        /** It waits for other steps. */
        BLOCKED,
        /** It waits for room. */
        WAITING,
        /** It is at a sidecar. */
        SENT,
        /** It succeeded. */
        DONE
    }

    OwnedJob job() {
        return job;
    }

    TaskIdentity identity() {
        return identity;
    }

    /** Gives its number, counted over all steps of its job. */
    int number() {
        return number;
    }

    StepPlan step() {
        return step;
    }

    Phase phase() {
        return phase;
    }

    boolean isIn(Phase wanted) {
        return phase == wanted;
    }

    void enter(Phase next) {
        phase = next;
    }

    RunIdentity currentRun() {
        return new RunIdentity(identity, run);
    }

    int run() {
        return run;
    }

    void sawRun(int seen) {
        run = Math.max(run, seen);
    }

    /** Gives it to a sidecar as its next run. */
    RunIdentity send(String incarnation, long now, long expectedMilliseconds) {
        run++;
        attach(incarnation, run, now, expectedMilliseconds);
        return currentRun();
    }

    /** Notes that a run of it is at a sidecar. */
    void attach(String incarnation, int runNumber, long now, long expectedMilliseconds) {
        run = Math.max(run, runNumber);
        sidecar = incarnation;
        sentAt = now;
        expected = expectedMilliseconds;
        withdrawn = false;
        phase = Phase.SENT;
    }

    String sidecar() {
        return sidecar;
    }

    long sentAt() {
        return sentAt;
    }

    long expected() {
        return expected;
    }

    /** Notes over which link to its sidecar it was sent, and as which dispatch there. */
    void sentAs(int link, long sequence) {
        sentOverLink = link;
        sentSequence = sequence;
    }

    /** Tells whether a sidecar's word about dispatches of a link up to a number is also about this task. */
    boolean wasSentBy(int link, long sequence) {
        return sentOverLink < link || sentOverLink == link && sentSequence <= sequence;
    }

    boolean isWithdrawn() {
        return withdrawn;
    }

    void withdraw() {
        withdrawn = true;
    }

    int failures() {
        return failures;
    }

    int lastFailure() {
        return lastFailure;
    }

    void restore(boolean done, int failed, int last) {
        failures = failed;
        lastFailure = last;
        run = Math.max(run, last);
        if (done) {
            phase = Phase.DONE;
        }
    }

    /** Counts a failed run; gives false if it was counted before. */
    boolean failed(int runNumber, String where) {
        failedAt.add(where);
        if (runNumber <= lastFailure) {
            return false;
        }
        lastFailure = runNumber;
        failures++;
        return true;
    }

    /** Gives the nodes at which runs of it failed or stood still. */
    Set<String> failedAt() {
        return failedAt;
    }
}
