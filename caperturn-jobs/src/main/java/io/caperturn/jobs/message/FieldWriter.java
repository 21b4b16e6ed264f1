package io.caperturn.jobs.message;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Encoder of the fields of one protobuf message; omits fields with the value "", 0 or false.
 *
 * <p>Nested messages are written into the same buffer: protobuf's own output stream needs a buffer for each of them,
 * and most frames have several.
 */
final class FieldWriter {
    private static final int INITIAL_BYTES = 128;
    private static final int WIRE_TYPE_BITS = 3;
    private static final int VARINT = 0;
    private static final int LENGTH_DELIMITED = 2;
    /**
     * Number of bits of a number in each byte of its encoding; the remaining bit tells whether another byte follows.
     */
    private static final int VARINT_BITS = 7;

    private static final int CONTINUATION = 1 << VARINT_BITS;

    private byte[] buffer = new byte[INITIAL_BYTES];
    private int size;

    /** Writes one byte that is not part of a field. */
    FieldWriter writeByte(int value) {
        reserve(1);
        buffer[size++] = (byte) value;
        return this;
    }

    FieldWriter writeText(int field, String value) {
        if (value.isEmpty()) {
            return this;
        }
        byte[] encoded = value.getBytes(StandardCharsets.UTF_8);
        writeTag(field, LENGTH_DELIMITED);
        writeVarint(encoded.length);
        reserve(encoded.length);
        System.arraycopy(encoded, 0, buffer, size, encoded.length);
        size += encoded.length;
        return this;
    }

    FieldWriter writeLong(int field, long value) {
        if (value != 0) {
            writeTag(field, VARINT);
            writeVarint(value);
        }
        return this;
    }

    FieldWriter writeBoolean(int field, boolean value) {
        return writeLong(field, value ? 1 : 0);
    }

    FieldWriter writeMessage(int field, Consumer<FieldWriter> content) {
        writeTag(field, LENGTH_DELIMITED);
        int lengthAt = size;
        writeByte(0);
        content.accept(this);
        int length = size - lengthAt - 1;
        int lengthBytes = varintBytes(length);
        if (lengthBytes > 1) {
            reserve(lengthBytes - 1);
            System.arraycopy(buffer, lengthAt + 1, buffer, lengthAt + lengthBytes, length);
        }
        size = lengthAt;
        writeVarint(length);
        size += length;
        return this;
    }

    byte[] toBytes() {
        return Arrays.copyOf(buffer, size);
    }

    private void writeTag(int field, int wireType) {
        writeVarint((long) field << WIRE_TYPE_BITS | wireType);
    }

    private void writeVarint(long value) {
        long remaining = value;
        while ((remaining & -CONTINUATION) != 0) {
            writeByte((int) remaining | CONTINUATION);
            remaining >>>= VARINT_BITS;
        }
        writeByte((int) remaining);
    }

    private static int varintBytes(int value) {
        int bytes = 1;
        for (int remaining = value >>> VARINT_BITS; remaining != 0; remaining >>>= VARINT_BITS) {
            bytes++;
        }
        return bytes;
    }

    private void reserve(int bytes) {
        if (buffer.length - size < bytes) {
            buffer = Arrays.copyOf(buffer, Math.max(2 * buffer.length, size + bytes));
        }
    }
}
