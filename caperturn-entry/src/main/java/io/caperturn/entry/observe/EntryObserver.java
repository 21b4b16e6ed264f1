package io.caperturn.entry.observe;

import io.caperturn.core.entry.SubmissionLifecycleEvent;
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
 * Service that records the lifecycle events of submissions, such as a dispatch or the answer, on a thread of its own.
 * It writes log lines, counts in metrics and adds to the history of submissions.
 *
 * <p>Publishing never blocks: if the queue is full, the event is dropped and counted, so that a slow log does not delay
 * scheduling.
 */
public final class EntryObserver implements Service {
    /** Name in the {@link ServiceRegistry}. */
    public static final ServiceName<EntryObserver> NAME = new ServiceName<>("observer", EntryObserver.class);

    private static final int EVENT_QUEUE_CAPACITY = 1 << 16;
    private static final Duration HISTORY_EXPIRY_INTERVAL = Duration.ofSeconds(1);

    private final Clock clock;
    private final EntryMetrics metrics;
    private final SubmissionHistory history;
    private final QueueWorker<TimedEvent> worker =
            new QueueWorker<>("observer", EVENT_QUEUE_CAPACITY, HISTORY_EXPIRY_INTERVAL, new EventHandler());
    private final AtomicLong droppedEvents = new AtomicLong();

    /**
     * Creates the observer.
     *
     * @param clock source of time
     * @param metrics the metrics
     * @param history the history of submissions
     */
    public EntryObserver(Clock clock, EntryMetrics metrics, SubmissionHistory history) {
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
     * Enqueues an event to be recorded, or drops it if the queue is full.
     *
     * @param event the event
     */
    public void publish(SubmissionLifecycleEvent event) {
        if (!worker.offer(new TimedEvent(event, clock.instant()))) {
            droppedEvents.incrementAndGet();
        }
    }

    /**
     * Returns the metrics in which the events are counted.
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
    public SubmissionHistory history() {
        return history;
    }

    /**
     * Event with its time.
     *
     * @param event the event
     * @param at the time at which it was published
     */
    private record TimedEvent(SubmissionLifecycleEvent event, Instant at) {}

    private final class EventHandler implements QueueWorker.Handler<TimedEvent> {
        @Override
        public void onBatch(List<TimedEvent> batch) {
            for (TimedEvent timedEvent : batch) {
                LifecycleEventLogger.log(timedEvent.event());
                metrics.record(timedEvent.event());
                history.add(timedEvent.event(), timedEvent.at());
            }
        }

        @Override
        public void onInterval() {
            metrics.setDroppedEvents(droppedEvents.get());
            history.expire(clock.instant());
        }
    }
}
