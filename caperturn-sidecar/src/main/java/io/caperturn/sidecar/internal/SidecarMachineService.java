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

/** Runs the {@link SidecarMachine} on a thread of its own, which takes events from a bounded queue. */
public final class SidecarMachineService implements Service {
    private static final int QUEUE_CAPACITY = 8_192;

    /** The batch that is in progress may have begun before the call, so the next one is awaited as well. */
    private static final int BATCHES_TO_AWAIT = 2;

    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final long POLL_INTERVAL_NANOSECONDS = TimeUnit.MICROSECONDS.toNanos(100);

    private final SidecarMachine machine;
    private final QueueWorker<SidecarEvent> worker;
    private final CountDownLatch drained = new CountDownLatch(1);
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
    public void start(ServiceRegistry kernel) {
        meters = kernel.find(SidecarServices.METERS);
        executor = new SidecarCommandExecutor(
                kernel.find(SidecarServices.LINKS), kernel.find(SidecarServices.UPSTREAM), meters, this);
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
     * frames from its connections, so the senders are slowed down.
     *
     * <p>Events that are posted by the machine's own thread, while it executes a command, are handled at the end of the
     * same batch. That thread must not block on its own queue.
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
     * Waits until all events that were posted before the call have been handled and the resulting frames were sent.
     *
     * @param timeout the maximum time to wait
     */
    public void awaitHandledEvents(Duration timeout) {
        long target = handledBatches + BATCHES_TO_AWAIT;
        long end = System.nanoTime() + timeout.toNanos();
        while (handledBatches < target && System.nanoTime() - end < 0) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOSECONDS);
        }
    }

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
