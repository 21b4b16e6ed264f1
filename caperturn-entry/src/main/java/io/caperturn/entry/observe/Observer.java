package io.caperturn.entry.observe;

import io.caperturn.core.entry.EntryOccurrence;
import io.caperturn.kernel.QueueWorker;
import io.caperturn.kernel.ServiceRegistry;
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
public final class Observer implements Service {
    /** Name under which the observer is found. */
    public static final ServiceName<Observer> NAME = new ServiceName<>("observer", Observer.class);

    private static final int RING_CAPACITY = 1 << 16;
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private final Clock clock;
    private final EntryMeters meters;
    private final SubmissionHistory history;
    private final QueueWorker<Observed> duty = new QueueWorker<>("observer", RING_CAPACITY, INTERVAL, new Work());
    private final AtomicLong dropped = new AtomicLong();

    /**
     * Creates the observer.
     *
     * @param clock source of time
     * @param meters the metrics
     * @param history the history of submissions
     */
    public Observer(Clock clock, EntryMeters meters, SubmissionHistory history) {
        this.clock = Objects.requireNonNull(clock, "clock");
        this.meters = Objects.requireNonNull(meters, "meters");
        this.history = Objects.requireNonNull(history, "history");
    }

    @Override
    public void start(ServiceRegistry kernel) {
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
        if (!duty.offer(new Observed(occurrence, clock.instant()))) {
            dropped.incrementAndGet();
        }
    }

    /**
     * Returns the metrics.
     *
     * @return the metrics
     */
    public EntryMeters meters() {
        return meters;
    }

    /**
     * Returns the history of submissions.
     *
     * @return the history
     */
    public SubmissionHistory history() {
        return history;
    }

    /**
     * An occurrence with its time.
     *
     * @param occurrence what happened
     * @param at when
     */
    private record Observed(EntryOccurrence occurrence, Instant at) {}

    private final class Work implements QueueWorker.Handler<Observed> {
        @Override
        public void onBatch(List<Observed> batch) {
            for (Observed observed : batch) {
                OccurrenceLog.log(observed.occurrence());
                meters.record(observed.occurrence());
                history.add(observed.occurrence(), observed.at());
            }
        }

        @Override
        public void onInterval() {
            meters.occurrencesDropped(dropped.get());
            history.expire(clock.instant());
        }
    }
}
