package io.caperturn.jobs.message;

import io.caperturn.jobs.model.Resources;
import io.caperturn.jobs.model.UpstreamCrash;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Codec of the fields of {@link JobFrame.Status}. */
final class StatusFields {
    private StatusFields() {}

    /**
     * Writes a status: waitingWork is in thousandths of a core times milliseconds, dispatchesSeen is the highest
     * sequence number of a dispatch received, and renewal is the number of the request to renew the lease.
     */
    static void write(FieldWriter writer, JobFrame.Status status) {
        writer.writeBoolean(1, status.usable()).writeText(2, status.service());
        writer.writeMessage(3, nested -> ResourcesCodec.write(nested, status.capacity()));
        writer.writeMessage(4, nested -> ResourcesCodec.write(nested, status.free()));
        writer.writeLong(5, status.waitingWork()).writeLong(6, status.runningTasks());
        status.labels().forEach(label -> writer.writeText(7, label));
        writer.writeLong(8, status.dispatchesSeen())
                .writeLong(9, status.renewal())
                .writeLong(10, status.coldMilliseconds());
        status.crashes().forEach(crash -> writer.writeMessage(11, nested -> writeCrash(nested, crash)));
        writer.writeLong(12, status.upstreamNumber()).writeBoolean(13, status.awaitingDescription());
    }

    static JobFrame read(FieldReader reader) throws IOException {
        boolean usable = false;
        String service = "";
        Resources capacity = Resources.NONE;
        Resources free = Resources.NONE;
        long waitingWork = 0;
        int runningTasks = 0;
        List<String> labels = new ArrayList<>();
        long dispatchesSeen = 0;
        long renewal = 0;
        long coldMilliseconds = 0;
        List<UpstreamCrash> crashes = new ArrayList<>();
        long upstreamNumber = 0;
        boolean awaitingDescription = false;
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> usable = reader.readBoolean();
                case 2 -> service = reader.readText();
                case 3 -> capacity = ResourcesCodec.read(reader.readMessage());
                case 4 -> free = ResourcesCodec.read(reader.readMessage());
                case 5 -> waitingWork = reader.readLong();
                case 6 -> runningTasks = reader.readInt();
                case 7 -> labels.add(reader.readText());
                case 8 -> dispatchesSeen = reader.readLong();
                case 9 -> renewal = reader.readLong();
                case 10 -> coldMilliseconds = reader.readLong();
                case 11 -> crashes.add(readCrash(reader.readMessage()));
                case 12 -> upstreamNumber = reader.readLong();
                case 13 -> awaitingDescription = reader.readBoolean();
                default -> reader.skip();
            }
        }
        return new JobFrame.Status(
                usable,
                service,
                capacity,
                free,
                waitingWork,
                runningTasks,
                labels,
                dispatchesSeen,
                renewal,
                coldMilliseconds,
                crashes,
                upstreamNumber,
                awaitingDescription);
    }

    private static void writeCrash(FieldWriter writer, UpstreamCrash crash) {
        writer.writeLong(1, crash.number()).writeLong(2, crash.ageMilliseconds());
        CountFields.write(writer, /* field= */ 3, crash.startChancePermille());
    }

    private static UpstreamCrash readCrash(FieldReader reader) throws IOException {
        long number = 0;
        long ageMilliseconds = 0;
        Map<String, Integer> chances = new HashMap<>();
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> number = reader.readLong();
                case 2 -> ageMilliseconds = reader.readLong();
                case 3 -> CountFields.readInto(chances, reader.readMessage());
                default -> reader.skip();
            }
        }
        return new UpstreamCrash(number, ageMilliseconds, chances);
    }
}
