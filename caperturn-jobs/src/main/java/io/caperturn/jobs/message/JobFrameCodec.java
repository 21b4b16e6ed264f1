package io.caperturn.jobs.message;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Codec for frames, the messages of {@link JobFrame}: one byte for the kind of frame, followed by its fields.
 *
 * <p>The frames go between entries (processes that accept and own jobs) and sidecars, each of which starts runs on its
 * upstream. {@link JobFrame} describes each frame and its fields.
 */
public final class JobFrameCodec {
    private static final int HELLO = 1;
    private static final int STATUS = 2;
    /** Answer to STATUS with the number of the renewal request: the entry renews the lease on its tasks. */
    private static final int LEASE = 3;

    private static final int DISPATCH = 4;
    /** Order to remove a queued run or to stop an active one. */
    private static final int WITHDRAW = 5;
    /** Acknowledgement that a reported completion is stored, or need not be, and may be discarded. */
    private static final int SETTLED = 6;

    private static final int REPORT = 7;
    /** Reports on all runs known to a sidecar; as answer to FENCE_OWNER, it names the fenced entry. */
    private static final int INVENTORY = 8;
    /** Order to a sidecar to accept nothing more from a lost entry. */
    private static final int FENCE_OWNER = 9;
    /** Question of a sidecar about jobs whose runs have no owner. */
    private static final int UNCLAIMED = 10;

    /** Answer to UNCLAIMED: the job has finished. */
    private static final int JOB_OVER = 11;
    /** Heartbeat of an entry to another entry. */
    private static final int ENTRY_STATE = 12;

    private static final int CANCEL_JOB = 13;
    /** Estimates of a sidecar of how much the runs of queues slow each other down. */
    private static final int SLOWDOWNS = 16;

    private JobFrameCodec() {}

    /**
     * Encodes a frame.
     *
     * @param frame the frame
     * @return the encoded frame
     */
    public static byte[] encode(JobFrame frame) {
        FieldWriter writer = new FieldWriter().writeByte(kindOf(frame));
        write(writer, frame);
        return writer.toBytes();
    }

    private static void write(FieldWriter writer, JobFrame frame) {
        switch (frame) {
            case JobFrame.Hello hello ->
                writer.writeLong(1, hello.role().ordinal())
                        .writeText(2, hello.node())
                        .writeText(3, hello.incarnation())
                        .writeText(4, hello.zone());
            case JobFrame.Status status -> StatusFields.write(writer, status);
            case JobFrame.Lease lease -> writer.writeLong(1, lease.renewal()).writeBoolean(2, lease.authority());
            case JobFrame.Dispatch dispatch -> RunFields.writeDispatch(writer, dispatch);
            case JobFrame.Withdraw withdraw -> RunFields.writeRun(writer, withdraw.run());
            case JobFrame.Settled settled -> RunFields.writeRun(writer, settled.run());
            case JobFrame.Report report -> RunFields.writeReport(writer, report);
            case JobFrame.Inventory inventory -> {
                writer.writeText(1, inventory.fenced())
                        .writeBoolean(2, inventory.complete())
                        .writeLong(4, inventory.dispatchesSeen());
                inventory.runs().forEach(run -> writer.writeMessage(3, nested -> RunFields.writeReport(nested, run)));
            }
            case JobFrame.FenceOwner fence -> writer.writeText(1, fence.incarnation());
            case JobFrame.Unclaimed unclaimed -> {
                unclaimed.jobs().forEach(job -> writer.writeText(1, job));
                unclaimed.ends().forEach(end -> writer.writeMessage(2, nested -> RunFields.writeReport(nested, end)));
                writer.writeText(3, unclaimed.sidecar());
            }
            case JobFrame.JobOver over -> writer.writeText(1, over.job());
            case JobFrame.EntryState state -> CountFields.write(writer, /* field= */ 1, state.waitingJobs());
            case JobFrame.CancelJob cancel -> writer.writeText(1, cancel.job());
            case JobFrame.Slowdowns slowdowns -> SlowdownFields.write(writer, slowdowns);
        }
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
            case JobFrame.Slowdowns ignored -> SLOWDOWNS;
        };
    }

    /**
     * Decodes a frame.
     *
     * @param bytes the encoded frame
     * @return the frame
     * @throws IOException if the bytes are not a valid frame
     */
    public static JobFrame decode(byte[] bytes) throws IOException {
        if (bytes.length == 0) {
            throw new IOException("empty frame");
        }
        FieldReader reader = new FieldReader(bytes, /* offset= */ 1, bytes.length - 1);
        try {
            return switch (bytes[0]) {
                case HELLO -> readHello(reader);
                case STATUS -> StatusFields.read(reader);
                case LEASE -> readLease(reader);
                case DISPATCH -> RunFields.readDispatch(reader);
                case WITHDRAW -> new JobFrame.Withdraw(RunFields.readRun(reader));
                case SETTLED -> new JobFrame.Settled(RunFields.readRun(reader));
                case REPORT -> RunFields.readReport(reader);
                case INVENTORY -> readInventory(reader);
                case FENCE_OWNER -> new JobFrame.FenceOwner(readText(reader));
                case UNCLAIMED -> readUnclaimed(reader);
                case JOB_OVER -> new JobFrame.JobOver(readText(reader));
                case ENTRY_STATE -> readEntryState(reader);
                case CANCEL_JOB -> new JobFrame.CancelJob(readText(reader));
                case SLOWDOWNS -> SlowdownFields.read(reader);
                default -> throw new IOException("unknown frame kind " + bytes[0]);
            };
        } catch (IllegalArgumentException | ArithmeticException | NullPointerException e) {
            throw new IOException("invalid value in a frame of kind " + bytes[0] + ": " + e.getMessage(), e);
        }
    }

    private static JobFrame readInventory(FieldReader reader) throws IOException {
        String fenced = "";
        boolean complete = false;
        long dispatchesSeen = 0;
        List<JobFrame.Report> runs = new ArrayList<>();
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> fenced = reader.readText();
                case 2 -> complete = reader.readBoolean();
                case 3 -> runs.add(RunFields.readReport(reader.readMessage()));
                case 4 -> dispatchesSeen = reader.readLong();
                default -> reader.skip();
            }
        }
        return new JobFrame.Inventory(fenced, complete, dispatchesSeen, runs);
    }

    private static JobFrame readUnclaimed(FieldReader reader) throws IOException {
        List<String> jobs = new ArrayList<>();
        List<JobFrame.Report> ends = new ArrayList<>();
        String sidecar = "";
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> jobs.add(reader.readText());
                case 2 -> ends.add(RunFields.readReport(reader.readMessage()));
                case 3 -> sidecar = reader.readText();
                default -> reader.skip();
            }
        }
        return new JobFrame.Unclaimed(jobs, ends, sidecar);
    }

    private static JobFrame readHello(FieldReader reader) throws IOException {
        int role = 0;
        String node = null;
        String incarnation = null;
        String zone = "";
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> role = reader.readInt();
                case 2 -> node = reader.readText();
                case 3 -> incarnation = reader.readText();
                case 4 -> zone = reader.readText();
                default -> reader.skip();
            }
        }
        return new JobFrame.Hello(role == 0 ? ProcessRole.ENTRY : ProcessRole.SIDECAR, node, incarnation, zone);
    }

    private static JobFrame readEntryState(FieldReader reader) throws IOException {
        Map<String, Integer> waitingJobs = new HashMap<>();
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            if (field == 1) {
                CountFields.readInto(waitingJobs, reader.readMessage());
            } else {
                reader.skip();
            }
        }
        return new JobFrame.EntryState(waitingJobs);
    }

    /** Reads a lease; authority tells whether the entry knows that no other entry has adopted its stored jobs. */
    private static JobFrame readLease(FieldReader reader) throws IOException {
        long renewal = 0;
        boolean authority = false;
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> renewal = reader.readLong();
                case 2 -> authority = reader.readBoolean();
                default -> reader.skip();
            }
        }
        return new JobFrame.Lease(renewal, authority);
    }

    /** Reads a message whose only field is one text. */
    private static String readText(FieldReader reader) throws IOException {
        List<String> texts = readTexts(reader);
        if (texts.size() != 1) {
            throw new IOException("expected one text field, found " + texts.size());
        }
        return texts.getFirst();
    }

    /** Reads a message whose only field is a repeated text. */
    private static List<String> readTexts(FieldReader reader) throws IOException {
        List<String> texts = new ArrayList<>();
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            if (field == 1) {
                texts.add(reader.readText());
            } else {
                reader.skip();
            }
        }
        return texts;
    }
}
