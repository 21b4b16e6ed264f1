package io.caperturn.sidecar.internal;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.sidecar.SidecarEvent;
import io.caperturn.core.sidecar.SidecarMachine;
import io.caperturn.core.sidecar.SidecarMachineCommand;
import io.caperturn.core.sidecar.SidecarPolicy;
import io.caperturn.kernel.QueueWorker;
import io.caperturn.kernel.Service;
import io.caperturn.kernel.ServiceRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Service that runs the {@link SidecarMachine}, the state machine with the sidecar's decision logic, on a thread of its
 * own, which takes events in batches from a bounded queue.
 */
public final class SidecarMachineService implements Service {
    private static final int QUEUE_CAPACITY = 8_192;

    /**
     * Number of batches that must complete before all events posted so far are handled. The batch in progress may lack
     * the latest events, but the next batch contains them.
     */
    private static final int BATCHES_TO_AWAIT = 2;

    /** Interval between the timer events that the machine receives. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    /** Interval between two attempts to add to a full queue, and between two checks for handled batches. */
    private static final long POLL_INTERVAL_NANOSECONDS = TimeUnit.MICROSECONDS.toNanos(100);

    private final SidecarMachine machine;
    private final QueueWorker<SidecarEvent> worker;
    private final CountDownLatch drained = new CountDownLatch(1);
    /** Events posted by the machine's own thread while it executes a command. */
    private final Queue<SidecarEvent> followUpEvents = new ArrayDeque<>();

    private volatile long handledBatches;
    private volatile boolean running;
    private volatile Thread machineThread;
    private SidecarCommandExecutor executor;
    private SidecarMeters meters;

    /**
     * Creates the service.
     *
     * @param self the name and incarnation of this sidecar
     * @param policy the limits and time-outs of the machine
     */
    public SidecarMachineService(ProcessId self, SidecarPolicy policy) {
        machine = new SidecarMachine(self, policy);
        worker = new QueueWorker<>("machine", QUEUE_CAPACITY, TICK_INTERVAL, new EventHandler());
    }

    @Override
    public void start(ServiceRegistry services) {
        meters = services.find(SidecarServices.METERS);
        executor = new SidecarCommandExecutor(
                services.find(SidecarServices.LINKS), services.find(SidecarServices.UPSTREAM_CLIENT), meters, this);
        running = true;
        worker.start();
    }

    @Override
    public void stop() {
        running = false;
        worker.stop();
    }

    /**
     * Queues an event for the machine, and blocks while the queue is full. A blocked network thread reads no more
     * frames, which slows the senders down.
     *
     * <p>Events from the machine's own thread, which must not block on its queue, are handled at the end of the batch.
     *
     * @param event the event
     */
    public void post(SidecarEvent event) {
        if (Thread.currentThread() == machineThread) {
            followUpEvents.add(event);
            return;
        }
        while (running && !worker.offer(event)) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOSECONDS);
        }
    }

    /**
     * Starts a planned shutdown and waits until all accepted tasks have finished and were reported.
     *
     * @param timeout the maximum time to wait
     * @return false if the wait timed out or was interrupted
     */
    public boolean drain(Duration timeout) {
        post(new SidecarEvent.DrainRequested());
        try {
            return drained.await(timeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return false;
        }
    }

    /**
     * Waits until all events posted before the call are handled and the resulting frames are sent.
     *
     * @param timeout the maximum time to wait
     */
    public void awaitHandledEvents(Duration timeout) {
        long targetBatches = handledBatches + BATCHES_TO_AWAIT;
        long deadlineNanoseconds = System.nanoTime() + timeout.toNanos();
        while (handledBatches < targetBatches && System.nanoTime() - deadlineNanoseconds < 0) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOSECONDS);
        }
    }

    /** Lets a waiting call of {@link #drain} return. */
    void completeDrain() {
        drained.countDown();
    }

    private final class EventHandler implements QueueWorker.Handler<SidecarEvent> {
        @Override
        public void onBatch(List<SidecarEvent> batch) {
            machineThread = Thread.currentThread();
            Instant now = Instant.now();
            for (SidecarEvent event : batch) {
                handle(event, now);
            }
            while (!followUpEvents.isEmpty()) {
                handle(followUpEvents.remove(), now);
            }
            executor.flushReports();
            meters.updateLoad(machine.load());
            handledBatches++;
        }

        private void handle(SidecarEvent event, Instant now) {
            for (SidecarMachineCommand command : machine.handleEvent(event, now)) {
                executor.execute(command);
            }
        }

        @Override
        public void onInterval() {
            onBatch(List.of(new SidecarEvent.Tick()));
        }
    }
}
