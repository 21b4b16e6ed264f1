package io.caperturn.testkit.upstream;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;

/**
 * Record of an upstream, in memory and in a file.
 *
 * <p>Each line is appended by one write, so several upstreams may share a file, and a killed upstream loses no line
 * that was added.
 */
final class RecordWriter implements AutoCloseable {
    private final FileChannel file;
    private final List<RecordLine> lines = new ArrayList<>();

    RecordWriter(Path path) throws IOException {
        file = path == null
                ? null
                : FileChannel.open(
                        path, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    }

    synchronized void add(RecordLine line) {
        lines.add(line);
        if (file == null) {
            return;
        }
        try {
            file.write(ByteBuffer.wrap((line.toJson() + "\n").getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new UncheckedIOException("can't append to the record", e);
        }
    }

    synchronized List<RecordLine> lines() {
        return List.copyOf(lines);
    }

    @Override
    public void close() throws IOException {
        if (file != null) {
            file.close();
        }
    }
}
