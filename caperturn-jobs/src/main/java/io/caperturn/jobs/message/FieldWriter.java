package io.caperturn.jobs.message;

import com.google.protobuf.CodedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.Consumer;

/** Writer of the fields of one message; fields with their default value are left out. */
final class FieldWriter {
    private static final int BUFFER_BYTES = 256;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(BUFFER_BYTES);
    private final CodedOutputStream coded = CodedOutputStream.newInstance(bytes, BUFFER_BYTES);

    FieldWriter text(int field, String value) {
        return value.isEmpty() ? this : write(output -> output.writeString(field, value));
    }

    FieldWriter number(int field, long value) {
        return value == 0 ? this : write(output -> output.writeInt64(field, value));
    }

    FieldWriter flag(int field, boolean value) {
        return value ? write(output -> output.writeBool(field, true)) : this;
    }

    FieldWriter message(int field, Consumer<FieldWriter> content) {
        FieldWriter nested = new FieldWriter();
        content.accept(nested);
        byte[] encoded = nested.toBytes();
        return write(output -> output.writeByteArray(field, encoded));
    }

    byte[] toBytes() {
        write(CodedOutputStream::flush);
        return bytes.toByteArray();
    }

    private FieldWriter write(Step step) {
        try {
            step.on(coded);
            return this;
        } catch (IOException e) {
            throw new UncheckedIOException("a buffer in memory refused a field", e);
        }
    }

    private interface Step {
        void on(CodedOutputStream output) throws IOException;
    }
}
