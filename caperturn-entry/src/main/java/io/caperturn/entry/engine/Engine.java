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
 * Service that owns the {@link EntryMachine}: passes events to it in order and executes the commands it returns.
 *
 * <p>All scheduling state is confined to the engine's single thread.
 */
public final class Engine implements Service {
    /** Name under which the engine is registered in the {@link ServiceRegistry}. */
    public static final ServiceName<Engine> NAME = new ServiceName<>("engine", Engine.class);

    private static final int QUEUE_CAPACITY = 1 << 16;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final long FULL_QUEUE_RETRY_NANOSECONDS = 100_000;

    private final EntryMachine machine;
    private final Clock clock;
    private final QueueWorker<EntryEvent> duty;
    private final CountDownLatch drained = new CountDownLatch(1);
    private final Deque<EntryEvent> followUps = new ArrayDeque<>();
    private final Queue<CompletableFuture<SchedulerView>> viewRequests = new ConcurrentLinkedQueue<>();
    private volatile int openSubmissions;
    private EntryCommandExecutor executor;

    /**
     * Creates the engine.
     *
     * @param machine the state machine; only this engine may use it from now on
     * @param clock source of time
     */
    public Engine(EntryMachine machine, Clock clock) {
        this.machine = Objects.requireNonNull(machine, "machine");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.duty = new QueueWorker<>("engine", QUEUE_CAPACITY, TICK_INTERVAL, new EngineWork());
    }

    @Override
    public void start(ServiceRegistry kernel) {
        executor = new EntryCommandExecutor(kernel, this, drained::countDown);
        duty.start();
    }

    @Override
    public void stop() {
        duty.stop();
    }

    /**
     * Enqueues an event without blocking.
     *
     * @param event the event
     * @return false if the queue is full; the caller must then reject the request behind the event
     */
    public boolean offer(EntryEvent event) {
        return duty.offer(event);
    }

    /**
     * Enqueues an event that must not be lost; blocks while the queue is full, which applies backpressure to the
     * sender.
     *
     * <p>Drops the event if the calling thread is interrupted.
     *
     * @param event the event
     */
    public void put(EntryEvent event) {
        while (!duty.offer(event)) {
            if (Thread.currentThread().isInterrupted()) {
                return;
            }
            LockSupport.parkNanos(FULL_QUEUE_RETRY_NANOSECONDS);
        }
    }

    /**
     * Starts draining and waits until every accepted submission has its answer.
     *
     * @param timeout the longest wait
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
     * @return the number after the last handled event
     */
    public int openSubmissions() {
        return openSubmissions;
    }

    /**
     * Returns the approximate number of queued events.
     *
     * @return the number of events
     */
    public int backlog() {
        return duty.queueSize();
    }

    /**
     * Requests a snapshot of the scheduler's state from the engine's thread.
     *
     * @return the future snapshot, normally completed within one tick
     */
    public CompletableFuture<SchedulerView> requestView() {
        CompletableFuture<SchedulerView> view = new CompletableFuture<>();
        viewRequests.add(view);
        return view;
    }

    /**
     * Adds an event that results from executing a command; must be called on the engine's thread.
     *
     * @param event the event, handled before the queued events
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
        openSubmissions = machine.openSubmissionCount();
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

    private final class EngineWork implements QueueWorker.Handler<EntryEvent> {
        @Override
        public void onBatch(List<EntryEvent> batch) {
            batch.forEach(Engine.this::handle);
        }

        @Override
        public void onInterval() {
            handle(new EntryEvent.Tick());
            answerViewRequests();
        }
    }
}
