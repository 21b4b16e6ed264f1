package io.caperturn.jobs.message;

import io.caperturn.jobs.model.JobState;
import java.io.IOException;

/**
 * Stored form of a job that is over.
 *
 * @param state how it ended
 * @param closedMilliseconds time of day of its end, in milliseconds since 1970
 */
public record ClosedRecord(JobState state, long closedMilliseconds) {
    /**
     * Encodes this record.
     *
     * @return its bytes
     */
    public byte[] toBytes() {
        return new FieldWriter()
                .number(1, state.ordinal() + 1L)
                .number(2, closedMilliseconds)
                .toBytes();
    }

    /**
     * Decodes a record.
     *
     * @param bytes its bytes
     * @return the record
     * @throws IOException if the bytes are no record of a job that is over
     */
    public static ClosedRecord of(byte[] bytes) throws IOException {
        FieldReader reader = new FieldReader(bytes);
        int state = 0;
        long closed = 0;
        for (int field = reader.next(); field != 0; field = reader.next()) {
            switch (field) {
                case 1 -> state = reader.small();
                case 2 -> closed = reader.number();
                default -> reader.skip();
            }
        }
        try {
            return new ClosedRecord(JobState.of(state - 1), closed);
        } catch (IllegalArgumentException e) {
            throw new IOException("stored end can't be: " + e.getMessage(), e);
        }
    }
}
