package io.caperturn.jobs.message;

import java.io.IOException;
import java.util.Map;

/** Codec of maps from names to numbers: a repeated message of a name and its number. */
final class CountFields {
    private CountFields() {}

    /** Writes each element of a map as a message field of the same number. */
    static void write(FieldWriter writer, int field, Map<String, Integer> counts) {
        counts.forEach((name, count) ->
                writer.writeMessage(field, nested -> nested.writeText(1, name).writeLong(2, count)));
    }

    /** Reads one element into a map. */
    static void readInto(Map<String, Integer> counts, FieldReader reader) throws IOException {
        String name = "";
        int count = 0;
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> name = reader.readText();
                case 2 -> count = reader.readInt();
                default -> reader.skip();
            }
        }
        counts.put(name, count);
    }
}
