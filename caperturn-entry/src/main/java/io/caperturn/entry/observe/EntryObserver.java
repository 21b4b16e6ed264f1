package io.caperturn.entry.observe;

import io.caperturn.core.entry.EntryOccurrence;
import io.caperturn.kernel.QueueWorker;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceName;
import io.caperturn.kernel.ServiceRegistry;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Service that records occurrences (steps in the life of a submission, such as a dispatch or the answer) as log lines,
 * in metrics and in the history of submissions, on a thread of its own.
 *
 * <p>Publishing never blocks: if the queue is full, the occurrence is dropped and counted, so that a slow log does not
 * delay scheduling.
 */
public final class EntryObserver implements Service {
    /** Name under which the observer is registered in the {@link ServiceRegistry}. */
    public static final ServiceName<EntryObserver> NAME = new ServiceName<>("observer", EntryObserver.class);

    private static final int QUEUE_CAPACITY = 1 << 16;
    private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(1);

    private final Clock clock;
    private final EntryMetrics metrics;
    private final OccurrenceHistory history;
    private final QueueWorker<TimedOccurrence> worker =
            new QueueWorker<>("observer", QUEUE_CAPACITY, EXPIRY_INTERVAL, new OccurrenceHandler());
    private final AtomicLong dropped = new AtomicLong();

    /**
     * Creates the observer.
     *
     * @param clock source of time
     * @param metrics the metrics
     * @param history the history of submissions
     */
    public EntryObserver(Clock clock, EntryMetrics metrics, OccurrenceHistory history) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.metrics = Objects.requireNonNull(metrics, "metrics");
        this.history = Objects.requireNonNull(history, "history");
    }

    @Override
    public void start(ServiceRegistry services) {
        worker.start();
    }

    @Override
    public void stop() {
        worker.stop();
    }

    /**
     * Enqueues an occurrence to be recorded, or drops it if the queue is full.
     *
     * @param occurrence the occurrence
     */
    public void publish(EntryOccurrence occurrence) {
        if (!worker.offer(new TimedOccurrence(occurrence, clock.instant()))) {
            dropped.incrementAndGet();
        }
    }

    /**
     * Returns the metrics.
     *
     * @return the metrics
     */
    public EntryMetrics metrics() {
        return metrics;
    }

    /**
     * Returns the history of submissions.
     *
     * @return the history
     */
    public OccurrenceHistory history() {
        return history;
    }

    /**
     * Occurrence with its time.
     *
     * @param occurrence the occurrence
     * @param at the time at which it was published
     */
    private record TimedOccurrence(EntryOccurrence occurrence, Instant at) {}

    private final class OccurrenceHandler implements QueueWorker.Handler<TimedOccurrence> {
        @Override
        public void onBatch(List<TimedOccurrence> batch) {
            for (TimedOccurrence timedOccurrence : batch) {
                OccurrenceLogger.log(timedOccurrence.occurrence());
                metrics.record(timedOccurrence.occurrence());
                history.add(timedOccurrence.occurrence(), timedOccurrence.at());
            }
        }

        @Override
        public void onInterval() {
            metrics.setOccurrencesDropped(dropped.get());
            history.expire(clock.instant());
        }
    }
}
