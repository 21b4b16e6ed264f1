package io.caperturn.jobs.message;

import io.caperturn.jobs.model.JobState;
import java.io.IOException;

/**
 * Stored record of a finished job, encoded as a protobuf message.
 *
 * @param state final state of the job
 * @param closedMilliseconds time of day at which the job finished, in milliseconds since 1970
 */
public record ClosedRecord(JobState state, long closedMilliseconds) {
    /**
     * Encodes this record.
     *
     * @return the encoded record
     */
    public byte[] toBytes() {
        // The ordinal is written plus 1, because the writer omits 0 and a record without a state has to be invalid.
        return new FieldWriter()
                .writeLong(1, state.ordinal() + 1L)
                .writeLong(2, closedMilliseconds)
                .toBytes();
    }

    /**
     * Decodes a record.
     *
     * @param bytes the encoded record
     * @return the record
     * @throws IOException if the bytes are not a valid record of a finished job
     */
    public static ClosedRecord of(byte[] bytes) throws IOException {
        FieldReader reader = new FieldReader(bytes);
        int state = 0;
        long closedMilliseconds = 0;
        for (int field = reader.nextFieldNumber(); field != 0; field = reader.nextFieldNumber()) {
            switch (field) {
                case 1 -> state = reader.readInt();
                case 2 -> closedMilliseconds = reader.readLong();
                default -> reader.skip();
            }
        }
        try {
            return new ClosedRecord(JobState.of(state - 1), closedMilliseconds);
        } catch (IllegalArgumentException e) {
            throw new IOException("invalid record of a finished job: " + e.getMessage(), e);
        }
    }
}
