package io.caperturn.jobs.owner;

import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.message.TaskProgress;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.model.TaskIdentity;
import java.util.ArrayList;
import java.util.List;

/**
 * Job owned by this entry (process that accepts jobs): the entry sends its tasks to sidecars, the processes beside the
 * upstreams that run tasks, and stores their progress if the job is durable.
 *
 * <p>A run is one attempt to run a task. The generation of a stored job counts its previous owners; that of a job that
 * is not stored is derived from the time of its submission. A later generation has higher run numbers: the first is the
 * generation multiplied by {@link #RUN_NUMBERS_PER_GENERATION}, plus 1.
 */
final class OwnedJob {
    /** Distance between the first run numbers of successive generations; a task has far fewer runs in a generation. */
    static final int RUN_NUMBERS_PER_GENERATION = 1_000;
    /**
     * Multiple of a job's objective (the time within which it should complete) after which no caller waits for its
     * result any more. A job that completes between these two times is late.
     */
    static final int EXPIRY_FACTOR = 3;

    private final String identity;
    private final JobPlan plan;
    private final QueuePolicy policy;
    private final int generation;
    private final long acceptedWallClockMilliseconds;
    private final long arrivedAt;
    private final long objectiveMilliseconds;
    private final List<OwnedTask> tasks = new ArrayList<>();
    private final List<PendingCompletion> pendingCompletions = new ArrayList<>();
    private long version;
    private boolean started;
    private boolean writing;
    private boolean writeRequired;
    private boolean recovering;
    private JobState finalState;
    private long oldestPendingCompletionAt = Long.MAX_VALUE;

    OwnedJob(
            String identity,
            JobPlan plan,
            QueuePolicy policy,
            int generation,
            long acceptedWallClockMilliseconds,
            long arrivedAt) {
        this.identity = identity;
        this.plan = plan;
        this.policy = policy;
        this.generation = generation;
        this.acceptedWallClockMilliseconds = acceptedWallClockMilliseconds;
        this.arrivedAt = arrivedAt;
        this.objectiveMilliseconds = policy.objectiveMilliseconds(plan.criticalPathMilliseconds());
        int number = 0;
        for (int step = 0; step < plan.steps().size(); step++) {
            StepPlan stepPlan = plan.steps().get(step);
            for (int index = 0; index < stepPlan.taskCount(); index++) {
                // A job runs once, so its only repetition is number 0.
                TaskIdentity task = new TaskIdentity(identity, /* repetition= */ 0, step, index);
                tasks.add(new OwnedTask(this, task, number++, stepPlan, generation * RUN_NUMBERS_PER_GENERATION + 1));
            }
        }
    }

    /**
     * Completed run whose success or failure is not yet stored; the sidecar keeps the outcome until this entry confirms
     * that it is stored.
     *
     * @param run the run
     * @param sidecarIncarnation identifier of the start of the sidecar that reported the outcome
     */
    record PendingCompletion(RunIdentity run, String sidecarIncarnation) {}

    /** Restores a job from its stored record; the arrival time is on this entry's monotonic clock, in milliseconds. */
    static OwnedJob restore(String identity, JobRecord stored, QueuePolicy policy, long arrivedAt) {
        OwnedJob job = new OwnedJob(
                identity, stored.plan(), policy, stored.generation(), stored.acceptedMilliseconds(), arrivedAt);
        job.started = stored.started();
        for (TaskProgress progress : stored.progress()) {
            if (progress.taskNumber() >= 0 && progress.taskNumber() < job.tasks.size()) {
                job.tasks.get(progress.taskNumber()).restore(progress);
            }
        }
        return job;
    }

    /** Returns the record to store, which names an incarnation of an entry as the owner. */
    JobRecord toRecord(String owner) {
        List<TaskProgress> progress = new ArrayList<>();
        for (OwnedTask task : tasks) {
            if (task.isIn(OwnedTask.Phase.DONE) || !task.history().isEmpty()) {
                progress.add(task.progress());
            }
        }
        return new JobRecord(owner, generation, plan, policy, acceptedWallClockMilliseconds, started, progress);
    }

    String identity() {
        return identity;
    }

    JobPlan plan() {
        return plan;
    }

    QueuePolicy policy() {
        return policy;
    }

    List<OwnedTask> tasks() {
        return tasks;
    }

    /** Returns the task with an identity, or null if the job has none. */
    OwnedTask findTask(TaskIdentity taskIdentity) {
        for (OwnedTask task : tasks) {
            if (task.identity().equals(taskIdentity)) {
                return task;
            }
        }
        return null;
    }

    /** Returns when the job arrived, in milliseconds of the monotonic clock. */
    long arrivedAt() {
        return arrivedAt;
    }

    /** Returns the time from arrival within which the job should complete, in milliseconds. */
    long objectiveMilliseconds() {
        return objectiveMilliseconds;
    }

    /** Returns the version of the stored record of the job. */
    long version() {
        return version;
    }

    void setVersion(long storedVersion) {
        version = storedVersion;
    }

    /** Returns whether any task is known to have started. */
    boolean isStarted() {
        return started;
    }

    void markStarted() {
        started = true;
    }

    /**
     * Returns whether the start of the next run has to be reported, by which the job ceases to be a waiting one: none
     * of its tasks is known to have started, and no such report is expected from a run that was sent before.
     */
    boolean needsStartReport() {
        return !started
                && tasks.stream().noneMatch(task -> task.isIn(OwnedTask.Phase.SENT) && task.isStartReportExpected());
    }

    /** Returns whether a write of the job to the store is in progress. */
    boolean isWriting() {
        return writing;
    }

    void setWriting(boolean inProgress) {
        writing = inProgress;
    }

    /** Returns whether the job has progress that has to be stored as soon as the write in progress has ended. */
    boolean isWriteRequired() {
        return writeRequired;
    }

    void requireWrite() {
        writeRequired = true;
    }

    void clearWriteRequirement() {
        writeRequired = false;
    }

    /**
     * Returns whether the runs that a lost owner started are still to be collected from the sidecars and assigned to
     * the tasks. Until that is done, no task of the job is enqueued.
     */
    boolean isRecovering() {
        return recovering;
    }

    void setRecovering(boolean inProgress) {
        recovering = inProgress;
    }

    /** Returns the final state that is to be stored, or null while the job is not finished. */
    JobState finalState() {
        return finalState;
    }

    /** Sets the final state, unless one is already set. */
    void decideFinalState(JobState state) {
        if (finalState == null) {
            finalState = state;
        }
    }

    /** Returns whether any task may have started: this entry sent it to a sidecar, or it has succeeded. */
    boolean hasSentTasks() {
        return tasks.stream().anyMatch(task -> task.sentAt() != 0 || task.isIn(OwnedTask.Phase.DONE));
    }

    /** Returns the state that callers see while the job is not finished. */
    JobState state() {
        return started ? JobState.RUNNING : JobState.QUEUED;
    }

    boolean areAllTasksDone() {
        return tasks.stream().allMatch(task -> task.isIn(OwnedTask.Phase.DONE));
    }

    /** Returns whether all tasks of the steps on which a step depends have succeeded. */
    boolean areDependenciesDone(StepPlan step) {
        return step.prerequisiteSteps().isEmpty()
                || tasks.stream()
                        .filter(task -> step.prerequisiteSteps()
                                .contains(task.identity().step()))
                        .allMatch(task -> task.isIn(OwnedTask.Phase.DONE));
    }

    /** Adds a completed run to be stored by the next write; {@code now} is in milliseconds of the monotonic clock. */
    void addPendingCompletion(PendingCompletion completion, long now) {
        pendingCompletions.add(completion);
        oldestPendingCompletionAt = Math.min(oldestPendingCompletionAt, now);
    }

    /**
     * Returns when the oldest pending completion was added, in milliseconds of the monotonic clock;
     * {@link Long#MAX_VALUE} if none is pending.
     */
    long oldestPendingCompletionAt() {
        return oldestPendingCompletionAt;
    }

    /** Removes and returns the pending completions, for the write that will store them. */
    List<PendingCompletion> drainPendingCompletions() {
        List<PendingCompletion> drained = List.copyOf(pendingCompletions);
        pendingCompletions.clear();
        oldestPendingCompletionAt = Long.MAX_VALUE;
        return drained;
    }
}
