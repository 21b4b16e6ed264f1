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
 * Keeps the execution record of an upstream in memory and appends it to a file, if there is one.
 *
 * <p>Each line is appended by a single write, so that several upstreams can share a file and a killed upstream loses no
 * line that was added.
 */
final class ExecutionRecordWriter implements AutoCloseable {
    private final FileChannel file;
    private final List<ExecutionRecordLine> lines = new ArrayList<>();

    ExecutionRecordWriter(Path path) throws IOException {
        file = path == null
                ? null
                : FileChannel.open(
                        path, StandardOpenOption.CREATE, StandardOpenOption.WRITE, StandardOpenOption.APPEND);
    }

    synchronized void add(ExecutionRecordLine line) {
        lines.add(line);
        if (file == null) {
            return;
        }
        try {
            file.write(ByteBuffer.wrap((line.toJson() + "\n").getBytes(StandardCharsets.UTF_8)));
        } catch (IOException e) {
            throw new UncheckedIOException("cannot append to the execution record", e);
        }
    }

    synchronized List<ExecutionRecordLine> lines() {
        return List.copyOf(lines);
    }

    @Override
    public void close() throws IOException {
        if (file != null) {
            file.close();
        }
    }
}
