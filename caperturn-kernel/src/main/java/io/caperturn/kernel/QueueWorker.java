package io.caperturn.kernel;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

/**
 * Worker thread that processes the elements of a bounded queue in batches and runs an action at a regular interval.
 *
 * <p>If a call of the handler fails, the failure is logged and the thread continues.
 *
 * @param <T> the type of the queue's elements
 */
public final class QueueWorker<T> {
    private static final System.Logger LOGGER = System.getLogger(QueueWorker.class.getName());
    /** Maximum number of elements in a batch. */
    private static final int MAXIMUM_BATCH = 256;

    private static final long STOP_TIMEOUT_MILLISECONDS = 2_000;

    private final String name;
    private final BoundedMpscQueue<T> queue;
    private final long intervalNanoseconds;
    private final Handler<T> handler;
    private volatile boolean running;
    private Thread thread;

    /**
     * Creates a worker; {@link #start} starts its thread.
     *
     * @param name the thread's name
     * @param queueCapacity the minimum capacity of the worker's queue, in elements, at least 2
     * @param interval the interval between calls of {@link Handler#onInterval}
     * @param handler the handler of batches and intervals
     */
    public QueueWorker(String name, int queueCapacity, Duration interval, Handler<T> handler) {
        this.name = Objects.requireNonNull(name, "name");
        this.queue = new BoundedMpscQueue<>(queueCapacity);
        this.intervalNanoseconds = interval.toNanos();
        this.handler = Objects.requireNonNull(handler, "handler");
    }

    /** Starts the thread. */
    public void start() {
        running = true;
        thread = Thread.ofPlatform().name(name).daemon(true).start(this::run);
    }

    /** Stops the thread and waits up to 2 s until it terminates; elements left in the queue are dropped. */
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
     * Adds an element to the queue.
     *
     * @param element the element
     * @return false if the queue is full; the caller must then refuse or drop the work that the element represents
     */
    public boolean offer(T element) {
        return queue.offer(element);
    }

    /**
     * Returns the number of elements waiting in the queue.
     *
     * @return the number, approximate while producers are active
     */
    public int queueSize() {
        return queue.size();
    }

    private void run() {
        List<T> batch = new ArrayList<>(MAXIMUM_BATCH);
        long nextInterval = System.nanoTime() + intervalNanoseconds;
        while (running) {
            queue.drainTo(batch, MAXIMUM_BATCH, nextInterval - System.nanoTime());
            if (!batch.isEmpty()) {
                runStep(() -> handler.onBatch(batch));
                batch.clear();
            }
            if (System.nanoTime() - nextInterval >= 0) {
                runStep(handler::onInterval);
                nextInterval = System.nanoTime() + intervalNanoseconds;
            }
        }
    }

    private void runStep(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            // The log calls a worker a duty.
            LOGGER.log(
                    System.Logger.Level.ERROR,
                    EventLine.of("duty-step-failed").with("duty", name).toString(),
                    e);
        }
    }

    /**
     * Handler of the batches and intervals of a worker thread.
     *
     * @param <T> the type of the queue's elements
     */
    public interface Handler<T> {
        /**
         * Handles a batch of elements in the order of the queue; called on the worker thread.
         *
         * @param batch the elements, valid only during the call
         */
        void onBatch(List<T> batch);

        /** Runs the periodic action; called on the worker thread. */
        void onInterval();
    }
}
