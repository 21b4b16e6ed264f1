package io.caperturn.jobs.message;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.JobState;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunFate;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.StepPlan;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.OptionalInt;

/**
 * Stored record of an unfinished job, encoded as a protobuf message.
 *
 * @param owner incarnation of the entry (process that accepts and owns jobs) that owns it
 * @param generation number of owners that the job had before this one; runs that this owner starts have higher numbers
 *     than those of earlier owners
 * @param plan plan that the caller submitted
 * @param policy policy of its queue when the job was accepted, without host and path prefix; stored because a job can
 *     outlive its queue
 * @param acceptedMilliseconds time of day at which the job was accepted, in milliseconds since 1970
 * @param started whether its owner knew that a task had started when the record was written
 * @param progress progress of the tasks that have succeeded or failed, in any order
 */
public record JobRecord(
        String owner,
        int generation,
        JobPlan plan,
        QueuePolicy policy,
        long acceptedMilliseconds,
        boolean started,
        List<TaskProgress> progress) {
    /** Multiplier of {@link QueuePolicy#objectiveFactor} in the stored form, which holds only integers. */
    private static final double OBJECTIVE_FACTOR_SCALE = 1_000;

    /** Maximum number of runs in the progress of all tasks: far more than a row of the store holds one by one. */
    private static final long MAXIMUM_RUNS = 100_000;

    /** Maximum number of owners before the present one; the numbers of runs stay within 32 bits. */
    private static final int MAXIMUM_GENERATION = 1_000_000;

    /**
     * Checks the references, the owner and the generation, and copies the list.
     *
     * @throws IllegalArgumentException if the owner is empty, or the generation is negative or too large
     */
    public JobRecord {
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(plan, "plan");
        Objects.requireNonNull(policy, "policy");
        if (owner.isEmpty()) {
            throw new IllegalArgumentException("no owner");
        }
        if (generation < 0 || generation > MAXIMUM_GENERATION) {
            throw new IllegalArgumentException("generation " + generation + " is out of range");
        }
        progress = List.copyOf(progress);
    }

    /**
     * Returns the state that the record shows to callers.
     *
     * @return whether the job was running when the record was written, or waited
     */
    public JobState state() {
        return started ? JobState.RUNNING : JobState.QUEUED;
    }

    /**
     * Returns whether the end of a run need not be stored any more: the record holds it, the task has succeeded by
     * another run, or the job has no such task.
     *
     * @param run the run
     * @param fate what became of the run
     * @return true if nobody needs the end
     */
    public boolean includesEnd(RunIdentity run, RunFate fate) {
        OptionalInt taskNumber = plan.taskNumber(run.task());
        if (taskNumber.isEmpty()) {
            return true;
        }
        return progress.stream()
                .filter(task -> task.taskNumber() == taskNumber.getAsInt())
                .anyMatch(task -> task.succeeded() || task.includes(run.number(), fate));
    }

    /**
     * Encodes this record.
     *
     * @return the encoded record
     */
    public byte[] toBytes() {
        FieldWriter writer = new FieldWriter()
                .writeText(1, owner)
                .writeLong(2, generation)
                .writeText(3, plan.queue())
                .writeText(4, plan.payload())
                .writeLong(5, acceptedMilliseconds)
                .writeBoolean(8, started)
                .writeMessage(9, nested -> writePolicy(nested, policy));
        plan.steps().forEach(step -> writer.writeMessage(6, nested -> writeStep(nested, step)));
        progress.forEach(task -> writer.writeMessage(7, task::write));
        return writer.toBytes();
    }

    /**
     * Decodes a record.
     *
     * @param bytes the encoded record
     * @return the record
     * @throws IOException if the bytes are not a valid record of a job
     */
    public static JobRecord decode(byte[] bytes) throws IOException {
        FieldReader reader = new FieldReader(bytes);
        String owner = "";
        int generation = 0;
        String queue = "";
        String payload = "";
        long acceptedMilliseconds = 0;
        boolean started = false;
        FieldReader policyFields = new FieldReader(new byte[0]);
        List<StepPlan> steps = new ArrayList<>();
        List<TaskProgress> progress = new ArrayList<>();
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> owner = reader.readText();
                case 2 -> generation = reader.readInt();
                case 3 -> queue = reader.readText();
                case 4 -> payload = reader.readText();
                case 5 -> acceptedMilliseconds = reader.readLong();
                case 6 -> steps.add(readStep(reader.readMessage()));
                case 7 -> progress.add(TaskProgress.read(reader.readMessage()));
                case 8 -> started = reader.readBoolean();
                case 9 -> policyFields = reader.readMessage();
                default -> reader.skip();
            }
        }
        long runs = progress.stream()
                .flatMap(task -> task.runs().stream())
                .mapToLong(TaskProgress.RunRange::count)
                .sum();
        if (runs > MAXIMUM_RUNS) {
            throw new IOException("the record of a job has " + runs + " runs");
        }
        if (generation == MAXIMUM_GENERATION) {
            throw new IOException("the job has had too many owners for another one");
        }
        try {
            return new JobRecord(
                    owner,
                    generation,
                    new JobPlan(queue, payload, steps, /* durable= */ true),
                    readPolicy(queue, policyFields),
                    acceptedMilliseconds,
                    started,
                    progress);
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid record of a job: " + e.getMessage(), e);
        }
    }

    private static void writePolicy(FieldWriter writer, QueuePolicy policy) {
        writer.writeText(1, policy.service())
                .writeLong(2, policy.urgency())
                .writeLong(3, policy.maximumAttempts())
                .writeLong(4, Math.round(policy.objectiveFactor() * OBJECTIVE_FACTOR_SCALE))
                .writeLong(5, policy.objectiveOffsetMilliseconds());
    }

    private static QueuePolicy readPolicy(String queue, FieldReader reader) throws IOException {
        String service = "";
        int urgency = 0;
        int maximumAttempts = 1;
        double objectiveFactor = 1;
        long objectiveOffsetMilliseconds = 0;
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> service = reader.readText();
                case 2 -> urgency = reader.readInt();
                case 3 -> maximumAttempts = reader.readInt();
                case 4 -> objectiveFactor = reader.readLong() / OBJECTIVE_FACTOR_SCALE;
                case 5 -> objectiveOffsetMilliseconds = reader.readLong();
                default -> reader.skip();
            }
        }
        return new QueuePolicy(
                queue,
                /* host= */ "",
                /* pathPrefix= */ "",
                service,
                urgency,
                maximumAttempts,
                objectiveFactor,
                objectiveOffsetMilliseconds);
    }

    private static void writeStep(FieldWriter writer, StepPlan step) {
        writer.writeLong(1, step.taskCount())
                .writeMessage(2, nested -> ResourcesCodec.write(nested, step.resourcesPerTask()))
                .writeLong(3, step.estimatedMilliseconds())
                .writeText(5, step.requiredLabel())
                .writeText(6, step.preferredRack())
                .writeLong(7, step.maximumPerUpstream());
        // Step numbers are written plus 1, because a field with the value 0 is omitted.
        step.prerequisiteSteps().forEach(earlier -> writer.writeLong(4, earlier + 1L));
    }

    private static StepPlan readStep(FieldReader reader) throws IOException {
        int taskCount = 0;
        Resources resourcesPerTask = Resources.NONE;
        long estimatedMilliseconds = 0;
        List<Integer> prerequisiteSteps = new ArrayList<>();
        String requiredLabel = "";
        String preferredRack = "";
        int maximumPerUpstream = 0;
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> taskCount = reader.readInt();
                case 2 -> resourcesPerTask = ResourcesCodec.read(reader.readMessage());
                case 3 -> estimatedMilliseconds = reader.readLong();
                case 4 -> prerequisiteSteps.add(reader.readInt() - 1);
                case 5 -> requiredLabel = reader.readText();
                case 6 -> preferredRack = reader.readText();
                case 7 -> maximumPerUpstream = reader.readInt();
                default -> reader.skip();
            }
        }
        try {
            return new StepPlan(
                    taskCount,
                    resourcesPerTask,
                    estimatedMilliseconds,
                    prerequisiteSteps,
                    requiredLabel,
                    preferredRack,
                    maximumPerUpstream);
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid step in the record of a job: " + e.getMessage(), e);
        }
    }
}
