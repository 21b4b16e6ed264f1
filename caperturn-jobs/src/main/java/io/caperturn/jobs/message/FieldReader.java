package io.caperturn.jobs.message;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;

/**
 * Decoder of the fields of one protobuf message, in the order in which they were written; the caller skips fields that
 * it does not know.
 */
final class FieldReader {
    private final byte[] bytes;
    private final int offset;
    private final CodedInputStream input;
    private int tag;

    FieldReader(byte[] bytes) {
        this(bytes, 0, bytes.length);
    }

    /** Creates a decoder of the message in a part of {@code bytes}, which is not copied. */
    FieldReader(byte[] bytes, int offset, int length) {
        this.bytes = bytes;
        this.offset = offset;
        this.input = CodedInputStream.newInstance(bytes, offset, length);
    }

    /** Advances to the next field and returns its number, or 0 at the end of the message. */
    int nextFieldNumber() throws IOException {
        tag = input.readTag();
        return WireFormat.getTagFieldNumber(tag);
    }

    String readText() throws IOException {
        return input.readString();
    }

    long readLong() throws IOException {
        return input.readInt64();
    }

    int readInt() throws IOException {
        long value = input.readInt64();
        if (value != (int) value) {
            throw new IOException("number out of range: " + value);
        }
        return (int) value;
    }

    boolean readBoolean() throws IOException {
        return input.readBool();
    }

    FieldReader readMessage() throws IOException {
        int length = input.readRawVarint32();
        int start = offset + input.getTotalBytesRead();
        input.skipRawBytes(length);
        return new FieldReader(bytes, start, length);
    }

    void skip() throws IOException {
        input.skipField(tag);
    }
}
