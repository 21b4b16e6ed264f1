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
    static final int RUNS_FOR_EACH_OWNER = 1_000;
    /** A job that ends within this multiple of its objective is late; after that nobody waits for it. */
    static final int LATE_FACTOR = 3;

    private final String identity;
    private final JobPlan plan;
    private final QueuePolicy policy;
    private final int generation;
    private final long acceptedTimeOfDay;
    private final long arrivedAt;
    private final long objective;
    private final List<OwnedTask> tasks = new ArrayList<>();
    private final List<PendingEnd> unsettled = new ArrayList<>();
    private long version;
    private boolean started;
    private boolean writing;
    private boolean recovering;
    private JobState wanted;
    private long dirtySince = Long.MAX_VALUE;

    OwnedJob(
            String identity, JobPlan plan, QueuePolicy policy, int generation, long acceptedTimeOfDay, long arrivedAt) {
        this.identity = identity;
        this.plan = plan;
        this.policy = policy;
        this.generation = generation;
        this.acceptedTimeOfDay = acceptedTimeOfDay;
        this.arrivedAt = arrivedAt;
        this.objective = (long) (policy.stretch() * plan.criticalPathMilliseconds()) + policy.targetMilliseconds();
        int number = 0;
        for (int step = 0; step < plan.steps().size(); step++) {
            StepPlan stepPlan = plan.steps().get(step);
            for (int index = 0; index < stepPlan.count(); index++) {
                TaskIdentity task = new TaskIdentity(identity, 0, step, index);
                tasks.add(new OwnedTask(this, task, number++, stepPlan, generation * RUNS_FOR_EACH_OWNER + 1));
            }
        }
    }

    /** A lasting end whose storing its sidecar waits for. */
    record PendingEnd(RunIdentity run, String sidecar) {}

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
                progress.add(new JobRecord.TaskProgress(task.number(), done, task.failures(), task.lastFailure()));
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

    OwnedTask task(TaskIdentity wantedTask) {
        for (OwnedTask task : tasks) {
            if (task.identity().equals(wantedTask)) {
                return task;
            }
        }
        return null;
    }

    long arrivedAt() {
        return arrivedAt;
    }

    /** Gives the time from arrival within which it should end, in milliseconds. */
    long objective() {
        return objective;
    }

    long version() {
        return version;
    }

    void version(long stored) {
        version = stored;
    }

    boolean isStarted() {
        return started;
    }

    void started() {
        started = true;
    }

    boolean isWriting() {
        return writing;
    }

    void writing(boolean underWay) {
        writing = underWay;
    }

    boolean isRecovering() {
        return recovering;
    }

    void recovering(boolean underWay) {
        recovering = underWay;
    }

    /** Gives the final state that is to be stored, or null while the job goes on. */
    JobState wanted() {
        return wanted;
    }

    void want(JobState state) {
        if (wanted == null) {
            wanted = state;
        }
    }

    /** Tells whether a task of it was ever sent to a sidecar, where it may have started. */
    boolean wasSent() {
        return tasks.stream().anyMatch(task -> task.sentAt() != 0 || task.isIn(OwnedTask.Phase.DONE));
    }

    JobState state() {
        return started ? JobState.RUNNING : JobState.QUEUED;
    }

    boolean isAllDone() {
        return tasks.stream().allMatch(task -> task.isIn(OwnedTask.Phase.DONE));
    }

    /** Tells whether all steps that a step waits for have succeeded. */
    boolean isReady(StepPlan step) {
        return step.after().isEmpty()
                || tasks.stream()
                        .filter(task -> step.after().contains(task.identity().step()))
                        .allMatch(task -> task.isIn(OwnedTask.Phase.DONE));
    }

    void addEnd(RunIdentity run, String sidecar, long now) {
        unsettled.add(new PendingEnd(run, sidecar));
        dirtySince = Math.min(dirtySince, now);
    }

    /** Tells since when a lasting end waits to be stored. */
    long dirtySince() {
        return dirtySince;
    }

    /** Takes the ends that a write now under way will store. */
    List<PendingEnd> takeEnds() {
        List<PendingEnd> taken = List.copyOf(unsettled);
        unsettled.clear();
        dirtySince = Long.MAX_VALUE;
        return taken;
    }
}
