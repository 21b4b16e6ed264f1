package io.caperturn.jobs.message;

import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.RunIdentity;
import io.caperturn.jobs.model.RunOutcome;
import io.caperturn.jobs.model.TaskIdentity;
import java.io.IOException;
import java.util.Optional;

/** Codec for the fields of frames about one run of a task: its dispatch, reports on it, and its identity. */
final class RunFields {
    private RunFields() {}

    static void writeDispatch(FieldWriter writer, JobFrame.Dispatch dispatch) {
        writer.writeLong(1, dispatch.sequence());
        writer.writeMessage(2, nested -> writeRun(nested, dispatch.run()));
        writer.writeText(3, dispatch.payload());
        writer.writeMessage(4, nested -> ResourcesCodec.write(nested, dispatch.need()));
        writer.writeLong(5, dispatch.estimatedMilliseconds())
                .writeLong(6, dispatch.slackMilliseconds())
                .writeLong(7, dispatch.urgency())
                .writeBoolean(8, dispatch.durable())
                .writeBoolean(9, dispatch.withoutStartReport())
                .writeText(10, dispatch.queue())
                .writeBoolean(11, dispatch.exclusive())
                .writeLong(12, dispatch.upstreamNumber());
    }

    static JobFrame.Dispatch readDispatch(FieldReader reader) throws IOException {
        long sequence = 0;
        RunIdentity run = null;
        String payload = "";
        Resources need = Resources.NONE;
        long estimatedMilliseconds = 0;
        long slackMilliseconds = 0;
        int urgency = 0;
        boolean durable = false;
        boolean withoutStartReport = false;
        String queue = "";
        boolean exclusive = false;
        long upstreamNumber = 0;
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> sequence = reader.readLong();
                case 2 -> run = readRun(reader.readMessage());
                case 3 -> payload = reader.readText();
                case 4 -> need = ResourcesCodec.read(reader.readMessage());
                case 5 -> estimatedMilliseconds = reader.readLong();
                case 6 -> slackMilliseconds = reader.readLong();
                case 7 -> urgency = reader.readInt();
                case 8 -> durable = reader.readBoolean();
                case 9 -> withoutStartReport = reader.readBoolean();
                case 10 -> queue = reader.readText();
                case 11 -> exclusive = reader.readBoolean();
                case 12 -> upstreamNumber = reader.readLong();
                default -> reader.skip();
            }
        }
        return new JobFrame.Dispatch(
                sequence,
                run,
                payload,
                need,
                estimatedMilliseconds,
                slackMilliseconds,
                urgency,
                durable,
                withoutStartReport,
                queue,
                exclusive,
                upstreamNumber);
    }

    static void writeReport(FieldWriter writer, JobFrame.Report report) {
        writer.writeMessage(1, nested -> writeRun(nested, report.run()))
                .writeLong(2, report.outcome().ordinal())
                .writeLong(3, report.runMilliseconds())
                .writeText(4, report.reason());
        report.room().ifPresent(room -> writer.writeMessage(5, nested -> writeRoom(nested, room)));
    }

    static JobFrame.Report readReport(FieldReader reader) throws IOException {
        RunIdentity run = null;
        int outcome = 0;
        long runMilliseconds = 0;
        String reason = "";
        Optional<JobFrame.Room> room = Optional.empty();
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> run = readRun(reader.readMessage());
                case 2 -> outcome = reader.readInt();
                case 3 -> runMilliseconds = reader.readLong();
                case 4 -> reason = reader.readText();
                case 5 -> room = Optional.of(readRoom(reader.readMessage()));
                default -> reader.skip();
            }
        }
        if (run == null) {
            throw new IOException("report without a run");
        }
        return new JobFrame.Report(run, RunOutcome.of(outcome), runMilliseconds, reason, room);
    }

    private static void writeRoom(FieldWriter writer, JobFrame.Room room) {
        writer.writeMessage(1, nested -> ResourcesCodec.write(nested, room.free()));
        writer.writeLong(2, room.waitingWork()).writeLong(3, room.dispatchesSeen());
    }

    private static JobFrame.Room readRoom(FieldReader reader) throws IOException {
        Resources free = Resources.NONE;
        long waitingWork = 0;
        long dispatchesSeen = 0;
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> free = ResourcesCodec.read(reader.readMessage());
                case 2 -> waitingWork = reader.readLong();
                case 3 -> dispatchesSeen = reader.readLong();
                default -> reader.skip();
            }
        }
        return new JobFrame.Room(free, waitingWork, dispatchesSeen);
    }

    /** Writes the identity of a run. */
    static void writeRun(FieldWriter writer, RunIdentity run) {
        TaskIdentity task = run.task();
        writer.writeText(1, task.job())
                .writeLong(2, task.repetition())
                .writeLong(3, task.step())
                .writeLong(4, task.index())
                .writeLong(5, run.number());
    }

    static RunIdentity readRun(FieldReader reader) throws IOException {
        String job = null;
        int repetition = 0;
        int step = 0;
        int index = 0;
        int number = 0;
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> job = reader.readText();
                case 2 -> repetition = reader.readInt();
                case 3 -> step = reader.readInt();
                case 4 -> index = reader.readInt();
                case 5 -> number = reader.readInt();
                default -> reader.skip();
            }
        }
        return new RunIdentity(new TaskIdentity(job, repetition, step, index), number);
    }
}
