package io.caperturn.entry.observe;

import io.caperturn.core.entry.EntryOccurrence;
import io.caperturn.kernel.Duty;
import io.caperturn.kernel.Kernel;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceName;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Duty that turns occurrences into log lines, metrics and the history of submissions.
 *
 * <p>Publishing never waits: when the ring is full the occurrence is dropped and counted, and decisions go on.
 */
public final class EntryObserver implements Service {
    /** Name under which the observer is found. */
    public static final ServiceName<EntryObserver> NAME = new ServiceName<>("observer", EntryObserver.class);

    private static final int QUEUE_CAPACITY = 1 << 16;
    private static final Duration EXPIRY_INTERVAL = Duration.ofSeconds(1);

    private final Clock clock;
    private final EntryMetrics metrics;
    private final OccurrenceHistory history;
    private final Duty<TimedOccurrence> duty =
            new Duty<>("observer", QUEUE_CAPACITY, EXPIRY_INTERVAL, new ObserverWork());
    private final AtomicLong dropped = new AtomicLong();

    /**
     * Creates the observer.
     *
     * @param clock source of time
     * @param meters the metrics
     * @param history the history of submissions
     */
    public EntryObserver(Clock clock, EntryMetrics meters, OccurrenceHistory history) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.metrics = Objects.requireNonNull(meters, "meters");
        this.history = Objects.requireNonNull(history, "history");
    }

    @Override
    public void start(Kernel kernel) {
        duty.start();
    }

    @Override
    public void stop() {
        duty.stop();
    }

    /**
     * Publishes an occurrence.
     *
     * @param occurrence what happened
     */
    public void publish(EntryOccurrence occurrence) {
        if (!duty.offer(new TimedOccurrence(occurrence, clock.instant()))) {
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
     * An occurrence with its time.
     *
     * @param occurrence what happened
     * @param at when
     */
    private record TimedOccurrence(EntryOccurrence occurrence, Instant at) {}

    private final class ObserverWork implements Duty.Work<TimedOccurrence> {
        @Override
        public void onBatch(List<TimedOccurrence> batch) {
            for (TimedOccurrence observed : batch) {
                OccurrenceLogger.log(observed.occurrence());
                metrics.record(observed.occurrence());
                history.add(observed.occurrence(), observed.at());
            }
        }

        @Override
        public void onInterval() {
            metrics.occurrencesDropped(dropped.get());
            history.expire(clock.instant());
        }
    }
}
