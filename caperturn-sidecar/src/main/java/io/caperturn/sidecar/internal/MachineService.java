package io.caperturn.sidecar.internal;

import io.caperturn.core.model.ProcessId;
import io.caperturn.core.sidecar.SidecarMachineCommand;
import io.caperturn.core.sidecar.SidecarEvent;
import io.caperturn.core.sidecar.SidecarMachine;
import io.caperturn.core.sidecar.SidecarPolicy;
import io.caperturn.kernel.QueueWorker;
import io.caperturn.kernel.ServiceRegistry;
import io.caperturn.kernel.Service;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** The sidecar's decision logic on its own thread, fed by a bounded ring. */
public final class MachineService implements Service {
    private static final int RING_CAPACITY = 8_192;
    private static final int BATCHES_TO_PASS = 2;
    private static final Duration TICK_INTERVAL = Duration.ofMillis(50);
    private static final long FULL_RING_PAUSE_NANOSECONDS = TimeUnit.MICROSECONDS.toNanos(100);

    private final SidecarMachine machine;
    private final QueueWorker<SidecarEvent> duty;
    private final CountDownLatch drained = new CountDownLatch(1);
    private final Queue<SidecarEvent> followUps = new ArrayDeque<>();
    private volatile long batches;
    private volatile boolean running;
    private volatile Thread machineThread;
    private CommandExecutor executor;
    private SidecarMeters meters;

    /**
     * Creates the service.
     *
     * @param self this process, by incarnation
     * @param policy bounds that the machine keeps to
     */
    public MachineService(ProcessId self, SidecarPolicy policy) {
        machine = new SidecarMachine(self, policy);
        duty = new QueueWorker<>("machine", RING_CAPACITY, TICK_INTERVAL, new Work());
    }

    @Override
    public void start(ServiceRegistry kernel) {
        meters = kernel.find(SidecarServices.METERS);
        executor = new CommandExecutor(
                kernel.find(SidecarServices.LINKS), kernel.find(SidecarServices.UPSTREAM), meters, this);
        running = true;
        duty.start();
    }

    @Override
    public void stop() {
        running = false;
        duty.stop();
    }

    /**
     * Hands an event to the machine; waits for space while the ring is full, which holds back the sender's connection.
     *
     * <p>The machine's own thread never waits for itself: what a command brings about at once follows in the same
     * batch.
     *
     * @param event the event
     */
    public void post(SidecarEvent event) {
        if (Thread.currentThread() == machineThread) {
            followUps.add(event);
            return;
        }
        while (running && !duty.offer(event)) {
            LockSupport.parkNanos(FULL_RING_PAUSE_NANOSECONDS);
        }
    }

    /**
     * Begins a planned stop and waits until all accepted work has ended and was reported.
     *
     * @param timeout the longest wait
     * @return false if the wait timed out
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
     * Waits until every event that was posted before has been handled and what it brought about was sent.
     *
     * @param timeout the longest wait
     */
    public void awaitHandled(Duration timeout) {
        long after = batches + BATCHES_TO_PASS;
        long end = System.nanoTime() + timeout.toNanos();
        while (batches < after && System.nanoTime() - end < 0) {
            LockSupport.parkNanos(FULL_RING_PAUSE_NANOSECONDS);
        }
    }

    void noteDrained() {
        drained.countDown();
    }

    private final class Work implements QueueWorker.Handler<SidecarEvent> {
        @Override
        public void onBatch(List<SidecarEvent> batch) {
            machineThread = Thread.currentThread();
            Instant now = Instant.now();
            for (SidecarEvent event : batch) {
                handle(event, now);
            }
            while (!followUps.isEmpty()) {
                handle(followUps.remove(), now);
            }
            executor.flush();
            meters.update(machine.load());
            batches++;
        }

        private void handle(SidecarEvent event, Instant now) {
            for (SidecarMachineCommand command : machine.on(event, now)) {
                executor.execute(command);
            }
        }

        @Override
        public void onInterval() {
            onBatch(List.of(new SidecarEvent.Tick()));
        }
    }
}
