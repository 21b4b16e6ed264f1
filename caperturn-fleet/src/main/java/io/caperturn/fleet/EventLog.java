package io.caperturn.fleet;

import io.caperturn.jobs.DecisionLog;
import io.caperturn.jobs.EventKey;
import io.caperturn.jobs.EventName;
import io.caperturn.kernel.EventLine;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/**
 * Log, counters, levels and duration histograms of one process; log lines pass through a bounded queue to a writer
 * thread.
 *
 * <p>The lines per second of each event name are limited. Lines omitted by that limit, and lines dropped because the
 * stream is stalled and the queue is full, are counted and reported on a line of their own.
 */
final class EventLog implements DecisionLog, AutoCloseable {
    /** Capacity of the queue, in lines: a few seconds of a busy process. */
    private static final int QUEUE_CAPACITY = 4_096;
    /** Maximum lines per second and event name: above the normal load of a busy process, below that of a fault. */
    private static final int MAXIMUM_LINES_PER_SECOND = 250;
    /** Interval between writes, in milliseconds; lines are written in batches because each write has a cost. */
    private static final long WRITE_INTERVAL_MILLISECONDS = 100;

    private static final long NANOSECONDS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    /** Maximum duration that a histogram records, in milliseconds; longer ones are recorded as this value. */
    private static final long MAXIMUM_DURATION_MILLISECONDS = 3_600_000;

    private final String node;
    private final OutputStream stream;
    private final ArrayBlockingQueue<String> queuedLines = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final Map<EventName, RateLimit> rateLimits = new EnumMap<>(EventName.class);
    private final Map<String, AtomicLong> counters = new ConcurrentHashMap<>();
    private final Map<String, Long> levels = new ConcurrentHashMap<>();
    private final Map<String, Histogram> histograms = new ConcurrentHashMap<>();
    private final AtomicLong droppedLines = new AtomicLong();
    private final Thread writer;
    private volatile boolean closed;

    EventLog(String node, OutputStream stream) {
        this.node = node;
        this.stream = stream;
        for (EventName name : EventName.values()) {
            rateLimits.put(name, new RateLimit());
        }
        this.writer = new Thread(this::writeLines, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Limit of the lines per second of one event name. */
    private static final class RateLimit {
        private long currentSecond;
        private int linesInSecond;
        private long omitted;

        /** Returns the number of lines omitted since the last admitted line, or -1 if this line must be omitted too. */
        synchronized long admit(long nowNanoseconds) {
            if (nowNanoseconds / NANOSECONDS_PER_SECOND != currentSecond) {
                currentSecond = nowNanoseconds / NANOSECONDS_PER_SECOND;
                linesInSecond = 0;
            }
            if (++linesInSecond > MAXIMUM_LINES_PER_SECOND) {
                omitted++;
                return -1;
            }
            long omittedBefore = omitted;
            omitted = 0;
            return omittedBefore;
        }
    }

    @Override
    public void event(EventName name, Object... keysAndValues) {
        long omitted = rateLimits.get(name).admit(System.nanoTime());
        if (omitted < 0) {
            return;
        }
        EventLine line = startLine(name)
                .with(EventKey.TIME.label(), System.currentTimeMillis())
                .with(EventKey.AT.label(), node);
        for (int index = 0; index + 1 < keysAndValues.length; index += 2) {
            line.with(((EventKey) keysAndValues[index]).label(), keysAndValues[index + 1]);
        }
        if (omitted > 0) {
            offer(startLine(EventName.LINES_OMITTED)
                    .with(EventKey.AT.label(), node)
                    .with(EventKey.OF.label(), name.label())
                    .with(EventKey.COUNT.label(), omitted)
                    .toString());
        }
        offer(line.toString());
    }

    private static EventLine startLine(EventName name) {
        return EventLine.of(name.label());
    }

    private void offer(String line) {
        if (!queuedLines.offer(line)) {
            droppedLines.incrementAndGet();
        }
    }

    @Override
    public void count(String name) {
        counters.computeIfAbsent(name, key -> new AtomicLong()).incrementAndGet();
    }

    @Override
    public void level(String name, long value) {
        levels.put(name, value);
    }

    @Override
    public void duration(String name, long milliseconds) {
        // The histogram records values with two significant decimal digits.
        histograms
                .computeIfAbsent(name, key -> new ConcurrentHistogram(MAXIMUM_DURATION_MILLISECONDS, 2))
                .recordValue(Math.max(0, Math.min(MAXIMUM_DURATION_MILLISECONDS, milliseconds)));
    }

    /** Returns the counters, levels and histograms in the Prometheus text format. */
    String metrics() {
        StringBuilder text = new StringBuilder();
        counters.forEach((name, value) -> text.append("caperturn_events_total{event=\"")
                .append(name)
                .append("\"} ")
                .append(value.get())
                .append('\n'));
        levels.forEach((name, value) -> text.append("caperturn_level{of=\"")
                .append(escapedLabelValue(name))
                .append("\"} ")
                .append(value)
                .append('\n'));
        text.append("caperturn_log_lines_dropped_total ")
                .append(droppedLines.get())
                .append('\n');
        histograms.forEach((name, histogram) -> {
            for (double quantile : new double[] {0.5, 0.9, 0.99, 1}) {
                text.append("caperturn_duration_milliseconds{of=\"")
                        .append(name)
                        .append("\",quantile=\"")
                        .append(quantile)
                        .append("\"} ")
                        .append(histogram.getValueAtPercentile(quantile * 100))
                        .append('\n');
            }
            text.append("caperturn_duration_milliseconds_count{of=\"")
                    .append(name)
                    .append("\"} ")
                    .append(histogram.getTotalCount())
                    .append('\n');
        });
        return text.toString();
    }

    /** Returns a name, which can contain the name of a queue, as a label value of the Prometheus text format. */
    private static String escapedLabelValue(String name) {
        return name.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
    }

    private void writeLines() {
        long reportedDroppedLines = 0;
        StringBuilder batch = new StringBuilder();
        while (!closed || !queuedLines.isEmpty()) {
            try {
                if (!closed) {
                    Thread.sleep(WRITE_INTERVAL_MILLISECONDS);
                }
                for (String line = queuedLines.poll(); line != null; line = queuedLines.poll()) {
                    batch.append(line).append('\n');
                }
                long totalDroppedLines = droppedLines.get();
                if (totalDroppedLines > reportedDroppedLines) {
                    batch.append(startLine(EventName.LINES_DROPPED)
                                    .with(EventKey.AT.label(), node)
                                    .with(EventKey.COUNT.label(), totalDroppedLines - reportedDroppedLines))
                            .append('\n');
                    reportedDroppedLines = totalDroppedLines;
                }
                if (!batch.isEmpty()) {
                    stream.write(batch.toString().getBytes(StandardCharsets.UTF_8));
                    stream.flush();
                    batch.setLength(0);
                }
            } catch (InterruptedException e) {
                closed = true;
            } catch (IOException e) {
                // The stream has been closed by its reader. The process continues; the failure can't be logged.
                return;
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            writer.join(2 * WRITE_INTERVAL_MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
