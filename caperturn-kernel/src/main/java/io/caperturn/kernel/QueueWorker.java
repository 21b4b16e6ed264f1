package io.caperturn.kernel;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Thread with one task of its own, fed by a bounded ring and woken at a regular interval.
 *
 * @param <T> the type of what the ring carries
 */
public final class QueueWorker<T> {
    private static final System.Logger LOGGER = System.getLogger(QueueWorker.class.getName());
    private static final int BATCH_LIMIT = 256;
    private static final long STOP_TIMEOUT_MILLISECONDS = 2_000;

    private final String name;
    private final Ring<T> ring;
    private final long intervalNanoseconds;
    private final Handler<T> work;
    private volatile boolean running;
    private Thread thread;

    /**
     * Creates a duty; {@link #start} starts its thread.
     *
     * @param name the thread's name
     * @param ringCapacity the capacity of its ring
     * @param interval how often {@link Handler#onInterval} is called
     * @param work what it does
     */
    public QueueWorker(String name, int ringCapacity, Duration interval, Handler<T> work) {
        this.name = Objects.requireNonNull(name, "name");
        this.ring = new Ring<>(ringCapacity);
        this.intervalNanoseconds = interval.toNanos();
        this.work = Objects.requireNonNull(work, "work");
    }

    /** Starts the thread. */
    public void start() {
        running = true;
        thread = Thread.ofPlatform().name(name).daemon(true).start(this::run);
    }

    /** Stops the thread and waits for it; what the ring still holds is dropped. */
    public void stop() {
        running = false;
        if (thread == null || thread == Thread.currentThread()) {
            return;
        }
        thread.interrupt();
        try {
            thread.join(STOP_TIMEOUT_MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Offers an element to the ring.
     *
     * @param element the element
     * @return false if the ring is full; the caller must then refuse or drop what it stands for
     */
    public boolean offer(T element) {
        return ring.offer(element);
    }

    /**
     * Returns the number of elements waiting in the ring.
     *
     * @return the number, approximate while producers run
     */
    public int queueSize() {
        return ring.size();
    }

    private void run() {
        List<T> batch = new ArrayList<>(BATCH_LIMIT);
        long next = System.nanoTime() + intervalNanoseconds;
        while (running) {
            ring.drainTo(batch, BATCH_LIMIT, next - System.nanoTime());
            if (!batch.isEmpty()) {
                guard(() -> work.onBatch(batch));
                batch.clear();
            }
            if (System.nanoTime() - next >= 0) {
                guard(work::onInterval);
                next = System.nanoTime() + intervalNanoseconds;
            }
        }
    }

    private void guard(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            LOGGER.log(
                    System.Logger.Level.ERROR,
                    EventLine.of("duty-step-failed").with("duty", name).toString(),
                    e);
        }
    }

    /**
     * What a duty does.
     *
     * @param <T> the type of what the ring carries
     */
    public interface Handler<T> {
        /**
         * Handles what the ring held, in order; called on the duty's thread.
         *
         * @param batch the elements, valid only during the call
         */
        void onBatch(List<T> batch);

        /** Handles the passing of time; called on the duty's thread. */
        void onInterval();
    }
}
