package io.caperturn.kernel;

import java.util.List;
import java.util.Objects;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscArrayQueue;

/**
 * Bounded ring from many producers to the one consumer that polls it.
 *
 * <p>A full ring refuses at once: that is the back-pressure between duties.
 *
 * @param <T> the elements' type
 */
public final class Ring<T> {
    private final MpscArrayQueue<T> queue;
    private volatile Thread consumer;

    /**
     * Creates a ring.
     *
     * @param capacity the least number of elements that it holds, at least 2; rounded up to a power of two
     */
    public Ring(int capacity) {
        queue = new MpscArrayQueue<>(capacity);
    }

    /**
     * Offers an element and wakes the consumer.
     *
     * @param element the element
     * @return false if the ring is full
     */
    public boolean offer(T element) {
        if (!queue.offer(Objects.requireNonNull(element, "element"))) {
            return false;
        }
        Thread waiting = consumer;
        if (waiting != null) {
            LockSupport.unpark(waiting);
        }
        return true;
    }

    /**
     * Moves up to a number of elements into a list, waiting for the first; called by one thread only.
     *
     * @param target where to
     * @param limit most elements moved
     * @param timeoutNanoseconds longest wait for the first element
     * @return how many were moved
     */
    public int drainTo(List<? super T> target, int limit, long timeoutNanoseconds) {
        int moved = queue.drain(target::add, limit);
        if (moved > 0 || timeoutNanoseconds <= 0) {
            return moved;
        }
        consumer = Thread.currentThread();
        try {
            moved = queue.drain(target::add, limit);
            if (moved == 0) {
                LockSupport.parkNanos(this, timeoutNanoseconds);
                moved = queue.drain(target::add, limit);
            }
            return moved;
        } finally {
            consumer = null;
        }
    }

    /**
     * Returns the number of elements waiting.
     *
     * @return the number, approximate while producers run
     */
    public int size() {
        return queue.size();
    }

    /**
     * Returns how many elements the ring can hold.
     *
     * @return the capacity
     */
    public int capacity() {
        return queue.capacity();
    }
}
