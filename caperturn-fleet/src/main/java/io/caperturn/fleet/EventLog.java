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
 * Log of one process: lines go through a bounded ring to a thread that writes them to a stream.
 *
 * <p>Each event has a bound on its lines a second. What is left out, there or because the stream is stalled, is counted
 * and told on a line of its own.
 */
final class EventLog implements DecisionLog, AutoCloseable {
    /** Lines that wait to be written: some seconds of a busy process. */
    private static final int CAPACITY = 4_096;
    /** Lines of one event a second: above what an entry decides on a busy day, below what a fault may bring. */
    private static final int LINES_A_SECOND = 250;
    /** Interval of writing, in milliseconds: gathers lines, since each write is charged. */
    private static final long WRITE_MILLISECONDS = 100;

    private static final long SECOND_NANOSECONDS = TimeUnit.SECONDS.toNanos(1);
    /** Highest duration that a histogram tells apart, in milliseconds. */
    private static final long HIGHEST_MILLISECONDS = 3_600_000;

    private final String node;
    private final OutputStream stream;
    private final ArrayBlockingQueue<String> lines = new ArrayBlockingQueue<>(CAPACITY);
    private final Map<EventName, Bound> bounds = new EnumMap<>(EventName.class);
    private final Map<String, AtomicLong> counters = new ConcurrentHashMap<>();
    private final Map<String, Histogram> histograms = new ConcurrentHashMap<>();
    private final AtomicLong dropped = new AtomicLong();
    private final Thread writer;
    private volatile boolean closed;

    EventLog(String node, OutputStream stream) {
        this.node = node;
        this.stream = stream;
        for (EventName name : EventName.values()) {
            bounds.put(name, new Bound());
        }
        this.writer = new Thread(this::writeAll, "log");
        writer.setDaemon(true);
        writer.start();
    }

    private static final class Bound {
        private long second;
        private int lines;
        private long omitted;

        /** Tells how many lines of the last second were left out, or -1 if this one has to be left out too. */
        synchronized long admit(long now) {
            if (now / SECOND_NANOSECONDS != second) {
                second = now / SECOND_NANOSECONDS;
                lines = 0;
            }
            if (++lines > LINES_A_SECOND) {
                omitted++;
                return -1;
            }
            long before = omitted;
            omitted = 0;
            return before;
        }
    }

    @Override
    public void event(EventName name, Object... pairs) {
        long omitted = bounds.get(name).admit(System.nanoTime());
        if (omitted < 0) {
            return;
        }
        EventLine line = begin(name)
                .with(EventKey.TIME.label(), System.currentTimeMillis())
                .with(EventKey.AT.label(), node);
        for (int index = 0; index + 1 < pairs.length; index += 2) {
            line.with(((EventKey) pairs[index]).label(), pairs[index + 1]);
        }
        if (omitted > 0) {
            offer(begin(EventName.LINES_OMITTED)
                    .with(EventKey.AT.label(), node)
                    .with(EventKey.OF.label(), name.label())
                    .with(EventKey.COUNT.label(), omitted)
                    .toString());
        }
        offer(line.toString());
    }

    private static EventLine begin(EventName name) {
        return EventLine.of(name.label());
    }

    private void offer(String line) {
        if (!lines.offer(line)) {
            dropped.incrementAndGet();
        }
    }

    @Override
    public void count(String name) {
        counters.computeIfAbsent(name, key -> new AtomicLong()).incrementAndGet();
    }

    @Override
    public void duration(String name, long milliseconds) {
        histograms
                .computeIfAbsent(name, key -> new ConcurrentHistogram(HIGHEST_MILLISECONDS, 2))
                .recordValue(Math.max(0, Math.min(HIGHEST_MILLISECONDS, milliseconds)));
    }

    /** Renders counters and histograms in the text form that Prometheus reads. */
    String metrics() {
        StringBuilder text = new StringBuilder();
        counters.forEach((name, value) -> text.append("caperturn_events_total{event=\"")
                .append(name)
                .append("\"} ")
                .append(value.get())
                .append('\n'));
        text.append("caperturn_log_lines_dropped_total ").append(dropped.get()).append('\n');
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

    private void writeAll() {
        long told = 0;
        StringBuilder batch = new StringBuilder();
        while (!closed || !lines.isEmpty()) {
            try {
                if (!closed) {
                    Thread.sleep(WRITE_MILLISECONDS);
                }
                for (String line = lines.poll(); line != null; line = lines.poll()) {
                    batch.append(line).append('\n');
                }
                long lost = dropped.get();
                if (lost > told) {
                    batch.append(begin(EventName.LINES_DROPPED)
                                    .with(EventKey.AT.label(), node)
                                    .with(EventKey.COUNT.label(), lost - told))
                            .append('\n');
                    told = lost;
                }
                if (!batch.isEmpty()) {
                    stream.write(batch.toString().getBytes(StandardCharsets.UTF_8));
                    stream.flush();
                    batch.setLength(0);
                }
            } catch (InterruptedException e) {
                closed = true;
            } catch (IOException e) {
                // Nobody reads the log any more; the process goes on, and there is no place left to say so.
                return;
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        try {
            writer.join(2 * WRITE_MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
