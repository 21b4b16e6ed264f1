package io.caperturn.jobs.owner;

import io.caperturn.jobs.message.JobRecord;
import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.StepPlan;
import io.caperturn.jobs.model.TaskIdentity;
import java.util.ArrayList;
import java.util.List;

/** A job that this entry owns. */
final class OwnedJob {
    /** Distance between the first run numbers of successive owners; a task has far fewer runs under one owner. */
    static final int RUN_NUMBERS_PER_OWNER = 1_000;
    /** Multiple of its objective up to which a completed job counts as late; beyond it, no caller waits any more. */
    static final int LATE_FACTOR = 3;

    private final String identity;
    private final JobPlan plan;
    private final QueuePolicy policy;
    private final int generation;
    private final long acceptedTimeOfDay;
    private final long arrivedAt;
    private final long objectiveMilliseconds;
    private final List<OwnedTask> tasks = new ArrayList<>();
    private final List<PendingCompletion> pendingCompletions = new ArrayList<>();
    private long version;
    private boolean started;
    private boolean writing;
    private boolean recovering;
    private JobState finalState;
    private long oldestPendingSince = Long.MAX_VALUE;

    OwnedJob(
            String identity, JobPlan plan, QueuePolicy policy, int generation, long acceptedTimeOfDay, long arrivedAt) {
        this.identity = identity;
        this.plan = plan;
        this.policy = policy;
        this.generation = generation;
        this.acceptedTimeOfDay = acceptedTimeOfDay;
        this.arrivedAt = arrivedAt;
        this.objectiveMilliseconds =
                (long) (policy.stretch() * plan.criticalPathMilliseconds()) + policy.targetMilliseconds();
        int number = 0;
        for (int step = 0; step < plan.steps().size(); step++) {
            StepPlan stepPlan = plan.steps().get(step);
            for (int index = 0; index < stepPlan.count(); index++) {
                TaskIdentity task = new TaskIdentity(identity, 0, step, index);
                tasks.add(new OwnedTask(this, task, number++, stepPlan, generation * RUN_NUMBERS_PER_OWNER + 1));
            }
        }
    }

    /** Success or failure of a run that is not stored yet; the sidecar of the run waits for the confirmation. */
    record PendingCompletion(RunIdentity run, String sidecar) {}

    static OwnedJob restore(String identity, JobRecord stored, QueuePolicy policy, long arrivedAt) {
        OwnedJob job = new OwnedJob(
                identity, stored.plan(), policy, stored.generation(), stored.acceptedMilliseconds(), arrivedAt);
        job.started = stored.started();
        for (JobRecord.TaskProgress progress : stored.progress()) {
            if (progress.task() >= 0 && progress.task() < job.tasks.size()) {
                job.tasks.get(progress.task()).restore(progress.done(), progress.failures(), progress.lastFailure());
            }
        }
        return job;
    }

    JobRecord toRecord(String owner) {
        List<JobRecord.TaskProgress> progress = new ArrayList<>();
        for (OwnedTask task : tasks) {
            boolean done = task.isIn(OwnedTask.Phase.DONE);
            if (done || task.failures() > 0) {
                progress.add(new JobRecord.TaskProgress(task.number(), done, task.failures(), task.lastFailedRun()));
            }
        }
        return new JobRecord(owner, generation, plan, policy, acceptedTimeOfDay, started, progress);
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

    OwnedTask task(TaskIdentity taskIdentity) {
        for (OwnedTask task : tasks) {
            if (task.identity().equals(taskIdentity)) {
                return task;
            }
        }
        return null;
    }

    long arrivedAt() {
        return arrivedAt;
    }

    /** Returns the time from arrival within which the job should complete, in milliseconds. */
    long objectiveMilliseconds() {
        return objectiveMilliseconds;
    }

    long version() {
        return version;
    }

    void setVersion(long stored) {
        version = stored;
    }

    boolean isStarted() {
        return started;
    }

    void markStarted() {
        started = true;
    }

    boolean isWriting() {
        return writing;
    }

    void setWriting(boolean inProgress) {
        writing = inProgress;
    }

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

    void decideFinalState(JobState state) {
        if (finalState == null) {
            finalState = state;
        }
    }

    /** Returns whether any task was ever sent to a sidecar, where it may have started. */
    boolean wasSent() {
        return tasks.stream().anyMatch(task -> task.sentAt() != 0 || task.isIn(OwnedTask.Phase.DONE));
    }

    JobState state() {
        return started ? JobState.RUNNING : JobState.QUEUED;
    }

    boolean areAllTasksDone() {
        return tasks.stream().allMatch(task -> task.isIn(OwnedTask.Phase.DONE));
    }

    /** Returns whether all steps on which a step depends have succeeded. */
    boolean isReady(StepPlan step) {
        return step.after().isEmpty()
                || tasks.stream()
                        .filter(task -> step.after().contains(task.identity().step()))
                        .allMatch(task -> task.isIn(OwnedTask.Phase.DONE));
    }

    void addPendingCompletion(RunIdentity run, String sidecar, long now) {
        pendingCompletions.add(new PendingCompletion(run, sidecar));
        oldestPendingSince = Math.min(oldestPendingSince, now);
    }

    /** Returns the time since which a completion waits to be stored; {@link Long#MAX_VALUE} if none does. */
    long oldestPendingSince() {
        return oldestPendingSince;
    }

    /** Removes and returns the completions that the write now starting will store. */
    List<PendingCompletion> takePendingCompletions() {
        List<PendingCompletion> drained = List.copyOf(pendingCompletions);
        pendingCompletions.clear();
        oldestPendingSince = Long.MAX_VALUE;
        return drained;
    }
}
