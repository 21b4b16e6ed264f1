package io.caperturn.jobs.message;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.Consumer;

/** Encoder of the fields of one protobuf message; omits fields with the value "", 0 or false. */
final class FieldWriter {
    private static final int BUFFER_BYTES = 256;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(BUFFER_BYTES);
    private final CodedOutputStream protobufOutput = CodedOutputStream.newInstance(bytes, BUFFER_BYTES);

    FieldWriter writeText(int field, String value) {
        return value.isEmpty() ? this : write(output -> output.writeString(field, value));
    }

    FieldWriter writeLong(int field, long value) {
        return value == 0 ? this : write(output -> output.writeInt64(field, value));
    }

    FieldWriter writeBoolean(int field, boolean value) {
        return value ? write(output -> output.writeBool(field, true)) : this;
    }

    FieldWriter writeMessage(int field, Consumer<FieldWriter> content) {
        FieldWriter nested = new FieldWriter();
        content.accept(nested);
        byte[] encoded = nested.toBytes();
        return write(output -> output.writeByteArray(field, encoded));
    }

    byte[] toBytes() {
        write(CodedOutputStream::flush);
        return bytes.toByteArray();
    }

    private FieldWriter write(FieldOutput fieldOutput) {
        try {
            fieldOutput.writeTo(protobufOutput);
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write a field to a buffer in memory", e);
        }
    }

    private interface FieldOutput {
        void writeTo(CodedOutputStream output) throws IOException;
    }
}
