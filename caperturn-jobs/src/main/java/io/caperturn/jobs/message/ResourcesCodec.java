package io.caperturn.jobs.message;

import io.caperturn.jobs.model.Resources;
import java.io.IOException;

/** Codec for resources as a nested message of frames and records. */
final class ResourcesCodec {
    private ResourcesCodec() {}

    /** Writes resources; the processor capacity is in thousandths of a core. */
    static void write(FieldWriter writer, Resources resources) {
        writer.writeLong(1, resources.processorMillis())
                .writeLong(2, resources.memoryMegabytes())
                .writeLong(3, resources.accelerators());
    }

    static Resources read(FieldReader reader) throws IOException {
        long processorMillis = 0;
        long memoryMegabytes = 0;
        long accelerators = 0;
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> processorMillis = reader.readLong();
                case 2 -> memoryMegabytes = reader.readLong();
                case 3 -> accelerators = reader.readLong();
                default -> reader.skip();
            }
        }
        return new Resources(processorMillis, memoryMegabytes, accelerators);
    }
}
