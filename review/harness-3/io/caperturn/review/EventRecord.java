package io.caperturn.review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** Record of what was sent, answered and run, with milliseconds since the start of the case. */
final class EventRecord implements AutoCloseable {
    private final long startNanoseconds = System.nanoTime();
    private final PrintWriter writer;

    EventRecord(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file), /* autoFlush= */ true);
    }

    /** Returns the milliseconds since the start of the case. */
    long now() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanoseconds);
    }

    synchronized void add(String format, Object... arguments) {
        writer.printf("%7d %s%n", now(), String.format(format, arguments));
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
