package io.caperturn.jobs.message;

import io.caperturn.jobs.model.JobPlan;
import io.caperturn.jobs.model.QueuePolicy;
import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.StepPlan;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Stored form of a job that is not over.
 *
 * @param owner incarnation of the entry that owns it
 * @param generation how many owners it had before; run numbers of a generation are higher than those of earlier ones
 * @param plan what the caller wants done
 * @param policy what was declared of its queue when it was accepted, without host and path: a job outlives its queue
 * @param acceptedMilliseconds time of day of its acceptance, in milliseconds since 1970
 * @param started whether a task was known to have started when this was written
 * @param progress what is known of tasks that have lasting ends, in any order
 */
public record JobRecord(
        String owner,
        int generation,
        JobPlan plan,
        QueuePolicy policy,
        long acceptedMilliseconds,
        boolean started,
        List<TaskProgress> progress) {
    /** Units of a stretch in its stored form. */
    private static final double STRETCH_UNITS = 1_000;

    /** Copies the list. */
    public JobRecord {
        Objects.requireNonNull(owner, "owner");
        Objects.requireNonNull(plan, "plan");
        Objects.requireNonNull(policy, "policy");
        progress = List.copyOf(progress);
    }

    /**
     * Lasting ends of one task.
     *
     * @param task number of the task, counted over all steps of its job
     * @param done whether it succeeded
     * @param failures how many of its runs failed
     * @param lastFailure number of the last run that is among these
     */
    public record TaskProgress(int task, boolean done, int failures, int lastFailure) {}

    /**
     * Encodes this record.
     *
     * @return its bytes
     */
    public byte[] toBytes() {
        FieldWriter writer = new FieldWriter()
                .text(1, owner)
                .number(2, generation)
                .text(3, plan.queue())
                .text(4, plan.payload())
                .number(5, acceptedMilliseconds)
                .flag(8, started)
                .message(9, nested -> writePolicy(nested, policy));
        plan.steps().forEach(step -> writer.message(6, nested -> writeStep(nested, step)));
        progress.forEach(task -> writer.message(
                7,
                nested -> nested.number(1, task.task())
                        .flag(2, task.done())
                        .number(3, task.failures())
                        .number(4, task.lastFailure())));
        return writer.toBytes();
    }

    /**
     * Decodes a record.
     *
     * @param bytes its bytes
     * @return the record
     * @throws IOException if the bytes are no record of a job
     */
    public static JobRecord of(byte[] bytes) throws IOException {
        FieldReader reader = new FieldReader(bytes);
        String owner = "";
        int generation = 0;
        String queue = "";
        String payload = "";
        long accepted = 0;
        boolean started = false;
        FieldReader terms = new FieldReader(new byte[0]);
        List<StepPlan> steps = new ArrayList<>();
        List<TaskProgress> progress = new ArrayList<>();
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> owner = reader.text();
                case 2 -> generation = reader.small();
                case 3 -> queue = reader.text();
                case 4 -> payload = reader.text();
                case 5 -> accepted = reader.number();
                case 6 -> steps.add(readStep(reader.message()));
                case 7 -> progress.add(readProgress(reader.message()));
                case 8 -> started = reader.flag();
                case 9 -> terms = reader.message();
                default -> reader.skip();
            }
        }
        try {
            return new JobRecord(
                    owner,
                    generation,
                    new JobPlan(queue, payload, steps, true),
                    readPolicy(queue, terms),
                    accepted,
                    started,
                    progress);
        } catch (IllegalArgumentException e) {
            throw new IOException("stored job can't be: " + e.getMessage(), e);
        }
    }

    private static void writePolicy(FieldWriter writer, QueuePolicy policy) {
        writer.text(1, policy.service())
                .number(2, policy.urgency())
                .number(3, policy.maximumAttempts())
                .number(4, Math.round(policy.stretch() * STRETCH_UNITS))
                .number(5, policy.targetMilliseconds());
    }

    private static QueuePolicy readPolicy(String queue, FieldReader reader) throws IOException {
        String service = "";
        int urgency = 0;
        int mostAttempts = 1;
        double stretch = 1;
        long target = 0;
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> service = reader.text();
                case 2 -> urgency = reader.small();
                case 3 -> mostAttempts = reader.small();
                case 4 -> stretch = reader.number() / STRETCH_UNITS;
                case 5 -> target = reader.number();
                default -> reader.skip();
            }
        }
        return new QueuePolicy(queue, "", "", service, urgency, mostAttempts, stretch, target);
    }

    private static void writeStep(FieldWriter writer, StepPlan step) {
        writer.number(1, step.count())
                .message(2, nested -> JobFrameCodec.writeResources(nested, step.need()))
                .number(3, step.estimatedMilliseconds())
                .text(5, step.requiredLabel())
                .text(6, step.nearRack())
                .number(7, step.maximumPerUpstream());
        step.after().forEach(earlier -> writer.number(4, earlier + 1L));
    }

    private static StepPlan readStep(FieldReader reader) throws IOException {
        int count = 0;
        Resources need = Resources.NONE;
        long estimate = 0;
        List<Integer> after = new ArrayList<>();
        String label = "";
        String rack = "";
        int most = 0;
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> count = reader.small();
                case 2 -> need = JobFrameCodec.readResources(reader.message());
                case 3 -> estimate = reader.number();
                case 4 -> after.add(reader.small() - 1);
                case 5 -> label = reader.text();
                case 6 -> rack = reader.text();
                case 7 -> most = reader.small();
                default -> reader.skip();
            }
        }
        try {
            return new StepPlan(count, need, estimate, after, label, rack, most);
        } catch (IllegalArgumentException e) {
            throw new IOException("stored step can't be: " + e.getMessage(), e);
        }
    }

    private static TaskProgress readProgress(FieldReader reader) throws IOException {
        int task = 0;
        boolean done = false;
        int failures = 0;
        int lastFailure = 0;
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> task = reader.small();
                case 2 -> done = reader.flag();
                case 3 -> failures = reader.small();
                case 4 -> lastFailure = reader.small();
                default -> reader.skip();
            }
        }
        return new TaskProgress(task, done, failures, lastFailure);
    }
}
