package io.caperturn.jobs.message;

import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.TaskIdentity;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Translation between frames and their bytes: one byte for the kind, then the fields. */
public final class JobFrameCodec {
    private static final int HELLO = 1;
    private static final int STATUS = 2;
    private static final int LEASE = 3;
    private static final int DISPATCH = 4;
    private static final int WITHDRAW = 5;
    private static final int SETTLED = 6;
    private static final int REPORT = 7;
    private static final int INVENTORY = 8;
    private static final int FENCE_OWNER = 9;
    private static final int UNCLAIMED = 10;
    private static final int JOB_OVER = 11;
    private static final int ENTRY_STATE = 12;
    private static final int CANCEL_JOB = 13;

    private JobFrameCodec() {}

    /**
     * Encodes a frame.
     *
     * @param frame the frame
     * @return its bytes
     */
    public static byte[] encode(JobFrame frame) {
        FieldWriter writer = new FieldWriter();
        int kind = write(writer, frame);
        byte[] fields = writer.toBytes();
        byte[] whole = new byte[fields.length + 1];
        whole[0] = (byte) kind;
        System.arraycopy(fields, 0, whole, 1, fields.length);
        return whole;
    }

    private static int write(FieldWriter writer, JobFrame frame) {
        switch (frame) {
            case JobFrame.Hello hello ->
                writer.number(1, hello.role().ordinal()).text(2, hello.node()).text(3, hello.incarnation());
            case JobFrame.Status status -> writeStatus(writer, status);
            case JobFrame.Lease lease -> writer.number(1, lease.renewal()).flag(2, lease.authority());
            case JobFrame.Dispatch dispatch -> writeDispatch(writer, dispatch);
            case JobFrame.Withdraw withdraw -> writeRun(writer, withdraw.run());
            case JobFrame.Settled settled -> writeRun(writer, settled.run());
            case JobFrame.Report report -> writeReport(writer, report);
            case JobFrame.Inventory inventory -> {
                writer.text(1, inventory.fenced()).flag(2, inventory.complete()).number(4, inventory.dispatchesSeen());
                inventory.runs().forEach(run -> writer.message(3, nested -> writeReport(nested, run)));
            }
            case JobFrame.FenceOwner fence -> writer.text(1, fence.incarnation());
            case JobFrame.Unclaimed unclaimed -> unclaimed.jobs().forEach(job -> writer.text(1, job));
            case JobFrame.JobOver over -> writer.text(1, over.job());
            case JobFrame.EntryState state ->
                state.waitingJobs()
                        .forEach((queue, count) -> writer.message(
                                1, nested -> nested.text(1, queue).number(2, count)));
            case JobFrame.CancelJob cancel -> writer.text(1, cancel.job());
        }
        return kindOf(frame);
    }

    private static int kindOf(JobFrame frame) {
        return switch (frame) {
            case JobFrame.Hello ignored -> HELLO;
            case JobFrame.Status ignored -> STATUS;
            case JobFrame.Lease ignored -> LEASE;
            case JobFrame.Dispatch ignored -> DISPATCH;
            case JobFrame.Withdraw ignored -> WITHDRAW;
            case JobFrame.Settled ignored -> SETTLED;
            case JobFrame.Report ignored -> REPORT;
            case JobFrame.Inventory ignored -> INVENTORY;
            case JobFrame.FenceOwner ignored -> FENCE_OWNER;
            case JobFrame.Unclaimed ignored -> UNCLAIMED;
            case JobFrame.JobOver ignored -> JOB_OVER;
            case JobFrame.EntryState ignored -> ENTRY_STATE;
            case JobFrame.CancelJob ignored -> CANCEL_JOB;
        };
    }

    /**
     * Decodes a frame.
     *
     * @param bytes its bytes
     * @return the frame
     * @throws IOException if the bytes are no frame
     */
    public static JobFrame decode(byte[] bytes) throws IOException {
        if (bytes.length == 0) {
            throw new IOException("empty frame");
        }
        byte[] fields = new byte[bytes.length - 1];
        System.arraycopy(bytes, 1, fields, 0, fields.length);
        FieldReader reader = new FieldReader(fields);
        try {
            return switch (bytes[0]) {
                case HELLO -> readHello(reader);
                case STATUS -> readStatus(reader);
                case LEASE -> readLease(reader);
                case DISPATCH -> readDispatch(reader);
                case WITHDRAW -> new JobFrame.Withdraw(readRun(reader));
                case SETTLED -> new JobFrame.Settled(readRun(reader));
                case REPORT -> readReport(reader);
                case INVENTORY -> readInventory(reader);
                case FENCE_OWNER -> new JobFrame.FenceOwner(readText(reader));
                case UNCLAIMED -> new JobFrame.Unclaimed(readTexts(reader));
                case JOB_OVER -> new JobFrame.JobOver(readText(reader));
                case ENTRY_STATE -> readEntryState(reader);
                case CANCEL_JOB -> new JobFrame.CancelJob(readText(reader));
                default -> throw new IOException("unknown kind of frame " + bytes[0]);
            };
        } catch (IllegalArgumentException | ArithmeticException | NullPointerException e) {
            throw new IOException("frame of kind " + bytes[0] + " with a value that can't be: " + e.getMessage(), e);
        }
    }

    private static void writeStatus(FieldWriter writer, JobFrame.Status status) {
        writer.flag(1, status.usable()).text(2, status.service());
        writer.message(3, nested -> writeResources(nested, status.capacity()));
        writer.message(4, nested -> writeResources(nested, status.free()));
        writer.number(5, status.waitingWork()).number(6, status.runningTasks());
        status.labels().forEach(label -> writer.text(7, label));
        writer.number(8, status.dispatchesSeen()).number(9, status.renewal());
    }

    private static JobFrame readStatus(FieldReader reader) throws IOException {
        boolean usable = false;
        String service = "";
        Resources capacity = Resources.NONE;
        Resources free = Resources.NONE;
        long waiting = 0;
        int running = 0;
        List<String> labels = new ArrayList<>();
        long seen = 0;
        long renewal = 0;
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> usable = reader.flag();
                case 2 -> service = reader.text();
                case 3 -> capacity = readResources(reader.message());
                case 4 -> free = readResources(reader.message());
                case 5 -> waiting = reader.number();
                case 6 -> running = reader.small();
                case 7 -> labels.add(reader.text());
                case 8 -> seen = reader.number();
                case 9 -> renewal = reader.number();
                default -> reader.skip();
            }
        }
        return new JobFrame.Status(usable, service, capacity, free, waiting, running, labels, seen, renewal);
    }

    private static void writeDispatch(FieldWriter writer, JobFrame.Dispatch dispatch) {
        writer.number(1, dispatch.sequence());
        writer.message(2, nested -> writeRun(nested, dispatch.run()));
        writer.text(3, dispatch.payload());
        writer.message(4, nested -> writeResources(nested, dispatch.need()));
        writer.number(5, dispatch.estimatedMilliseconds())
                .number(6, dispatch.slackMilliseconds())
                .number(7, dispatch.urgency())
                .flag(8, dispatch.durable());
    }

    private static JobFrame readDispatch(FieldReader reader) throws IOException {
        long sequence = 0;
        RunIdentity run = null;
        String payload = "";
        Resources need = Resources.NONE;
        long estimate = 0;
        long slack = 0;
        int urgency = 0;
        boolean durable = false;
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> sequence = reader.number();
                case 2 -> run = readRun(reader.message());
                case 3 -> payload = reader.text();
                case 4 -> need = readResources(reader.message());
                case 5 -> estimate = reader.number();
                case 6 -> slack = reader.number();
                case 7 -> urgency = reader.small();
                case 8 -> durable = reader.flag();
                default -> reader.skip();
            }
        }
        return new JobFrame.Dispatch(sequence, run, payload, need, estimate, slack, urgency, durable);
    }

    private static void writeReport(FieldWriter writer, JobFrame.Report report) {
        writer.message(1, nested -> writeRun(nested, report.run()))
                .number(2, report.outcome().ordinal())
                .number(3, report.runMilliseconds())
                .text(4, report.reason());
    }

    private static JobFrame.Report readReport(FieldReader reader) throws IOException {
        RunIdentity run = null;
        int outcome = 0;
        long milliseconds = 0;
        String reason = "";
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> run = readRun(reader.message());
                case 2 -> outcome = reader.small();
                case 3 -> milliseconds = reader.number();
                case 4 -> reason = reader.text();
                default -> reader.skip();
            }
        }
        if (run == null) {
            throw new IOException("report without a run");
        }
        return new JobFrame.Report(run, RunOutcome.of(outcome), milliseconds, reason);
    }

    private static JobFrame readInventory(FieldReader reader) throws IOException {
        String fenced = "";
        boolean complete = false;
        long seen = 0;
        List<JobFrame.Report> runs = new ArrayList<>();
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> fenced = reader.text();
                case 2 -> complete = reader.flag();
                case 3 -> runs.add(readReport(reader.message()));
                case 4 -> seen = reader.number();
                default -> reader.skip();
            }
        }
        return new JobFrame.Inventory(fenced, complete, seen, runs);
    }

    private static JobFrame readHello(FieldReader reader) throws IOException {
        int role = 0;
        String node = null;
        String incarnation = null;
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> role = reader.small();
                case 2 -> node = reader.text();
                case 3 -> incarnation = reader.text();
                default -> reader.skip();
            }
        }
        return new JobFrame.Hello(role == 0 ? ProcessRole.ENTRY : ProcessRole.SIDECAR, node, incarnation);
    }

    private static JobFrame readEntryState(FieldReader reader) throws IOException {
        Map<String, Integer> waiting = new HashMap<>();
        for (int field = reader.next(); field != 0; field = reader.next()) {
            if (field == 1) {
                FieldReader nested = reader.message();
                String queue = "";
                int count = 0;
                for (int inner = nested.next(); inner != 0; inner = nested.next()) {
                    switch (inner) {
                        case 1 -> queue = nested.text();
                        case 2 -> count = nested.small();
                        default -> nested.skip();
                    }
                }
                waiting.put(queue, count);
            } else {
                reader.skip();
            }
        }
        return new JobFrame.EntryState(waiting);
    }

    static void writeResources(FieldWriter writer, Resources resources) {
        writer.number(1, resources.processorMillis())
                .number(2, resources.memoryMegabytes())
                .number(3, resources.accelerators());
    }

    static Resources readResources(FieldReader reader) throws IOException {
        long processor = 0;
        long memory = 0;
        long accelerators = 0;
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> processor = reader.number();
                case 2 -> memory = reader.number();
                case 3 -> accelerators = reader.number();
                default -> reader.skip();
            }
        }
        return new Resources(processor, memory, accelerators);
    }

    private static void writeRun(FieldWriter writer, RunIdentity run) {
        TaskIdentity task = run.task();
        writer.text(1, task.job())
                .number(2, task.occurrence())
                .number(3, task.step())
                .number(4, task.index())
                .number(5, run.number());
    }

    private static RunIdentity readRun(FieldReader reader) throws IOException {
        String job = null;
        int occurrence = 0;
        int step = 0;
        int index = 0;
        int number = 0;
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> job = reader.text();
                case 2 -> occurrence = reader.small();
                case 3 -> step = reader.small();
                case 4 -> index = reader.small();
                case 5 -> number = reader.small();
                default -> reader.skip();
            }
        }
        return new RunIdentity(new TaskIdentity(job, occurrence, step, index), number);
    }

    private static JobFrame readLease(FieldReader reader) throws IOException {
        long renewal = 0;
        boolean authority = false;
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> renewal = reader.number();
                case 2 -> authority = reader.flag();
                default -> reader.skip();
            }
        }
        return new JobFrame.Lease(renewal, authority);
    }

    private static String readText(FieldReader reader) throws IOException {
        List<String> texts = readTexts(reader);
        if (texts.size() != 1) {
            throw new IOException("expected one text, found " + texts.size());
        }
        return texts.getFirst();
    }

    private static List<String> readTexts(FieldReader reader) throws IOException {
        List<String> texts = new ArrayList<>();
        for (int field = reader.next(); field != 0; field = reader.next()) {
            if (field == 1) {
                texts.add(reader.text());
            } else {
                reader.skip();
            }
        }
        return texts;
    }
}
