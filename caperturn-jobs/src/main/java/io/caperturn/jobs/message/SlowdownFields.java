package io.caperturn.jobs.message;

import io.caperturn.jobs.model.PairSlowdown;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Codec of the fields of {@link JobFrame.Slowdowns}. */
final class SlowdownFields {
    private SlowdownFields() {}

    static void write(FieldWriter writer, JobFrame.Slowdowns slowdowns) {
        for (PairSlowdown pair : slowdowns.pairs()) {
            writer.writeMessage(
                    1,
                    nested -> nested.writeText(1, pair.queue())
                            .writeText(2, pair.beside())
                            .writeLong(3, pair.logSlowdownThousandths())
                            .writeLong(4, pair.standardErrorThousandths()));
        }
        CountFields.write(writer, /* field= */ 2, slowdowns.levelHundredths());
    }

    static JobFrame read(FieldReader reader) throws IOException {
        List<PairSlowdown> pairs = new ArrayList<>();
        Map<String, Integer> levels = new HashMap<>();
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> pairs.add(readPair(reader.readMessage()));
                case 2 -> CountFields.readInto(levels, reader.readMessage());
                default -> reader.skip();
            }
        }
        return new JobFrame.Slowdowns(pairs, levels);
    }

    private static PairSlowdown readPair(FieldReader reader) throws IOException {
        String queue = "";
        String beside = "";
        int logSlowdown = 0;
        int standardError = 0;
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> queue = reader.readText();
                case 2 -> beside = reader.readText();
                case 3 -> logSlowdown = reader.readInt();
                case 4 -> standardError = reader.readInt();
                default -> reader.skip();
            }
        }
        return new PairSlowdown(queue, beside, logSlowdown, standardError);
    }
}
