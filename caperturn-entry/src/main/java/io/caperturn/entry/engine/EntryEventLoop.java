package io.caperturn.entry.engine;

import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachine;
import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.schedule.SchedulerView;
import io.caperturn.kernel.QueueWorker;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceName;
import io.caperturn.kernel.ServiceRegistry;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Event loop of an entry, the process that accepts submissions: passes events in order to the state machine, the
 * {@link EntryMachine}, and executes the commands that it returns.
 *
 * <p>The state machine is confined to the event loop's thread.
 */
public final class EntryEventLoop implements Service {
    /** Name in the {@link ServiceRegistry}. */
    public static final ServiceName<EntryEventLoop> NAME = new ServiceName<>("engine", EntryEventLoop.class);

    private static final int QUEUE_CAPACITY = 1 << 16;
    /** Interval of the timer event {@link EntryEvent.Tick}. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);

    private static final long FULL_QUEUE_RETRY_NANOSECONDS = 100_000;

    private final EntryMachine machine;
    private final Clock clock;
    private final QueueWorker<EntryEvent> worker;
    private final CountDownLatch drained = new CountDownLatch(1);
    /** Events caused by commands; they are handled before those in the queue. */
    private final Deque<EntryEvent> followUps = new ArrayDeque<>();

    private final Queue<CompletableFuture<SchedulerView>> viewRequests = new ConcurrentLinkedQueue<>();
    /** Number of submissions without an answer, written by the event loop's thread only. */
    private volatile int unansweredSubmissions;

    private EntryCommandExecutor executor;

    /**
     * Creates the event loop.
     *
     * @param machine the state machine; used by this event loop only
     * @param clock source of time
     */
    public EntryEventLoop(EntryMachine machine, Clock clock) {
        this.machine = Objects.requireNonNull(machine, "machine");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.worker = new QueueWorker<>("engine", QUEUE_CAPACITY, TICK_INTERVAL, new EventHandler());
    }

    @Override
    public void start(ServiceRegistry services) {
        executor = new EntryCommandExecutor(services, this, drained::countDown);
        worker.start();
    }

    @Override
    public void stop() {
        worker.stop();
    }

    /**
     * Enqueues an event without blocking.
     *
     * @param event the event
     * @return false if the queue is full; the caller must then reject the request that caused the event
     */
    public boolean offer(EntryEvent event) {
        return worker.offer(event);
    }

    /**
     * Enqueues an event; blocks while the queue is full, as backpressure to the sender. The event is dropped only if
     * the blocked thread is interrupted.
     *
     * @param event the event
     */
    public void put(EntryEvent event) {
        while (!worker.offer(event)) {
            if (Thread.currentThread().isInterrupted()) {
                return;
            }
            LockSupport.parkNanos(FULL_QUEUE_RETRY_NANOSECONDS);
        }
    }

    /**
     * Rejects new submissions and waits until every accepted one has its answer.
     *
     * @param timeout the maximum time to wait
     * @return false if the time-out expired first
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public boolean drain(Duration timeout) throws InterruptedException {
        put(new EntryEvent.DrainRequested());
        return drained.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Returns the number of submissions without an answer.
     *
     * @return the number as of the last handled event
     */
    public int unansweredSubmissions() {
        return unansweredSubmissions;
    }

    /**
     * Returns the approximate number of queued events.
     *
     * @return the number of events
     */
    public int queuedEvents() {
        return worker.queueSize();
    }

    /**
     * Requests a snapshot of the scheduler's state, which the event loop takes at the next tick.
     *
     * @return the future snapshot
     */
    public CompletableFuture<SchedulerView> requestSchedulerView() {
        CompletableFuture<SchedulerView> view = new CompletableFuture<>();
        viewRequests.add(view);
        return view;
    }

    /**
     * Adds an event that a command caused; must be called on the event loop's thread.
     *
     * @param event the event, handled before those in the queue
     */
    public void addFollowUp(EntryEvent event) {
        followUps.add(event);
    }

    private void handle(EntryEvent event) {
        followUps.add(event);
        while (!followUps.isEmpty()) {
            List<EntryMachineCommand> commands = machine.handleEvent(followUps.poll(), clock.instant());
            commands.forEach(executor::execute);
        }
        unansweredSubmissions = machine.openSubmissionCount();
    }

    private void answerViewRequests() {
        if (viewRequests.isEmpty()) {
            return;
        }
        SchedulerView view = machine.view();
        for (CompletableFuture<SchedulerView> request = viewRequests.poll();
                request != null;
                request = viewRequests.poll()) {
            request.complete(view);
        }
    }

    private final class EventHandler implements QueueWorker.Handler<EntryEvent> {
        @Override
        public void onBatch(List<EntryEvent> batch) {
            batch.forEach(EntryEventLoop.this::handle);
        }

        @Override
        public void onInterval() {
            handle(new EntryEvent.Tick());
            answerViewRequests();
        }
    }
}
