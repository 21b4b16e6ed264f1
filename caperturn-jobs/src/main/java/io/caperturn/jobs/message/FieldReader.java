package io.caperturn.jobs.message;

import com.google.protobuf.CodedInputStream;
import com.google.protobuf.WireFormat;
import java.io.IOException;

/** Reader of the fields of one message, in the order of their writing; unknown fields are passed over. */
final class FieldReader {
    private final CodedInputStream coded;
    private int tag;

    FieldReader(byte[] bytes) {
        coded = CodedInputStream.newInstance(bytes);
    }

    /** Moves to the next field and returns its number, 0 at the end. */
    int next() throws IOException {
        tag = coded.readTag();
        return WireFormat.getTagFieldNumber(tag);
    }

    String text() throws IOException {
        return coded.readString();
    }

    long number() throws IOException {
        return coded.readInt64();
    }

    int small() throws IOException {
        return Math.toIntExact(coded.readInt64());
    }

    boolean flag() throws IOException {
        return coded.readBool();
    }

    FieldReader message() throws IOException {
        return new FieldReader(coded.readByteArray());
    }

    void skip() throws IOException {
        coded.skipField(tag);
    }
}
