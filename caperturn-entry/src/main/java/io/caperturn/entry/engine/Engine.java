package io.caperturn.entry.engine;

import io.caperturn.core.entry.EntryMachineCommand;
import io.caperturn.core.entry.EntryEvent;
import io.caperturn.core.entry.EntryMachine;
import io.caperturn.core.schedule.SchedulerView;
import io.caperturn.kernel.QueueWorker;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceName;
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
 * Duty that owns the {@link EntryMachine}: feeds it events in order and carries out its commands.
 *
 * <p>All scheduling state belongs to this one thread.
 */
public final class Engine implements Service {
    /** Name under which the engine is found. */
    public static final ServiceName<Engine> NAME = new ServiceName<>("engine", Engine.class);

    private static final int RING_CAPACITY = 1 << 16;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(20);
    private static final long FULL_RING_PAUSE_NANOSECONDS = 100_000;

    private final EntryMachine machine;
    private final Clock clock;
    private final QueueWorker<EntryEvent> duty;
    private final CountDownLatch drained = new CountDownLatch(1);
    private final Deque<EntryEvent> feedback = new ArrayDeque<>();
    private final Queue<CompletableFuture<SchedulerView>> viewRequests = new ConcurrentLinkedQueue<>();
    private volatile int openSubmissions;
    private CommandExecutor executor;

    /**
     * Creates the engine.
     *
     * @param machine the decision logic, owned by this engine from now on
     * @param clock source of time
     */
    public Engine(EntryMachine machine, Clock clock) {
        this.machine = Objects.requireNonNull(machine, "machine");
        this.clock = Objects.requireNonNull(clock, "clock");
        this.duty = new QueueWorker<>("engine", RING_CAPACITY, TICK_INTERVAL, new Work());
    }

    @Override
    public void start(ServiceRegistry kernel) {
        executor = new CommandExecutor(kernel, this, drained::countDown);
        duty.start();
    }

    @Override
    public void stop() {
        duty.stop();
    }

    /**
     * Offers an event without waiting.
     *
     * @param event the event
     * @return false if the ring is full; whoever caused the event must then be refused
     */
    public boolean offer(EntryEvent event) {
        return duty.offer(event);
    }

    /**
     * Puts an event that must not be lost; waits for space, which slows down the network that it came from.
     *
     * @param event the event
     */
    public void put(EntryEvent event) {
        while (!duty.offer(event)) {
            if (Thread.currentThread().isInterrupted()) {
                return;
            }
            LockSupport.parkNanos(FULL_RING_PAUSE_NANOSECONDS);
        }
    }

    /**
     * Begins the drain and waits until every accepted submission has its answer.
     *
     * @param timeout the longest wait
     * @return false if the timeout passed first
     * @throws InterruptedException if the waiting thread is interrupted
     */
    public boolean drain(Duration timeout) throws InterruptedException {
        put(new EntryEvent.DrainRequested());
        return drained.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
    }

    /**
     * Returns how many submissions have no answer yet.
     *
     * @return the number as of the last event
     */
    public int openSubmissions() {
        return openSubmissions;
    }

    /**
     * Returns the number of events that wait.
     *
     * @return the number, approximate
     */
    public int backlog() {
        return duty.queueSize();
    }

    /**
     * Asks the engine's thread what the scheduler knows.
     *
     * @return the view, completed within about one tick
     */
    public CompletableFuture<SchedulerView> view() {
        CompletableFuture<SchedulerView> view = new CompletableFuture<>();
        viewRequests.add(view);
        return view;
    }

    /**
     * Adds an event that carrying out a command caused; called on the engine's thread only.
     *
     * @param event the event, handled before those in the ring
     */
    public void feedBack(EntryEvent event) {
        feedback.add(event);
    }

    private void handle(EntryEvent event) {
        feedback.add(event);
        while (!feedback.isEmpty()) {
            List<EntryMachineCommand> commands = machine.on(feedback.poll(), clock.instant());
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

    private final class Work implements QueueWorker.Handler<EntryEvent> {
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
