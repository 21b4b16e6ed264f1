package io.caperturn.kernel;

import java.lang.invoke.VarHandle;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;

/**
 * Bounded queue of many producers and one consumer (MPSC); the consumer can wait for the first element.
 *
 * <p>A full queue rejects an element at once instead of blocking the producer, which must then refuse or drop its work.
 * This limits the work that waits between threads (back-pressure).
 *
 * @param <T> the type of the elements
 */
public final class BoundedMpscQueue<T> {
    private static final int MINIMUM_CAPACITY = 2;

    private final MpscAtomicArrayQueue<T> queue;
    private volatile Thread waitingConsumer;

    /**
     * Creates a queue.
     *
     * @param capacity the minimum capacity in elements, at least 2; it is rounded up to a power of two
     * @throws IllegalArgumentException if the capacity is below 2
     */
    public BoundedMpscQueue(int capacity) {
        if (capacity < MINIMUM_CAPACITY) {
            throw new IllegalArgumentException("capacity must be at least " + MINIMUM_CAPACITY);
        }
        queue = new MpscAtomicArrayQueue<>(capacity);
    }

    /**
     * Offers an element and wakes the consumer.
     *
     * @param element the element
     * @return false if the queue is full
     */
    public boolean offer(T element) {
        if (!queue.offer(Objects.requireNonNull(element, "element"))) {
            return false;
        }
        // The offer above ends with a release store. Without the full fence, the read of waitingConsumer below could be
        // reordered before it, and miss a consumer that has just found the queue empty and is about to park.
        VarHandle.fullFence();
        Thread parkedConsumer = waitingConsumer;
        if (parkedConsumer != null) {
            LockSupport.unpark(parkedConsumer);
        }
        return true;
    }

    /**
     * Moves up to {@code limit} elements into a list, after a wait for the first if the queue is empty; called by one
     * thread only.
     *
     * <p>Every element whose offer returned before the call is visible to it.
     *
     * @param target the list to which the elements are appended
     * @param limit the maximum number of elements to move
     * @param timeoutNanoseconds the maximum wait for the first element, in nanoseconds; with 0 or less it does not wait
     * @return the number of elements moved; can be 0 before the maximum wait has passed
     */
    public int drainTo(List<? super T> target, int limit, long timeoutNanoseconds) {
        int moved = poll(target, limit);
        if (moved > 0 || timeoutNanoseconds <= 0) {
            return moved;
        }
        waitingConsumer = Thread.currentThread();
        try {
            moved = poll(target, limit);
            if (moved == 0) {
                LockSupport.parkNanos(this, timeoutNanoseconds);
                moved = poll(target, limit);
            }
            return moved;
        } finally {
            waitingConsumer = null;
        }
    }

    private int poll(List<? super T> target, int limit) {
        int moved = 0;
        while (moved < limit) {
            T element = queue.poll();
            if (element == null) {
                break;
            }
            target.add(element);
            moved++;
        }
        return moved;
    }

    /**
     * Returns the number of elements in the queue.
     *
     * @return the number, approximate while producers are active
     */
    public int size() {
        return queue.size();
    }

    /**
     * Returns the maximum number of elements in the queue.
     *
     * @return the capacity
     */
    public int capacity() {
        return queue.capacity();
    }
}
