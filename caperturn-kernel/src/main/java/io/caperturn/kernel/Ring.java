package io.caperturn.kernel;

import java.lang.invoke.VarHandle;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.atomic.MpscAtomicArrayQueue;

/**
 * Bounded ring from many producers to the one consumer that polls it.
 *
 * <p>A full ring refuses at once: that is the back-pressure between duties.
 *
 * @param <T> the elements' type
 */
public final class Ring<T> {
    private static final int MINIMUM_CAPACITY = 2;

    private final MpscAtomicArrayQueue<T> queue;
    private volatile Thread consumer;

    /**
     * Creates a ring.
     *
     * @param capacity the least number of elements that it holds, at least 2; rounded up to a power of two
     * @throws IllegalArgumentException if the capacity is below 2
     */
    public Ring(int capacity) {
        if (capacity < MINIMUM_CAPACITY) {
            throw new IllegalArgumentException("capacity must be at least " + MINIMUM_CAPACITY);
        }
        queue = new MpscAtomicArrayQueue<>(capacity);
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
        // The queue's store is a release store; without the fence the read below could overtake it and miss a consumer
        // that found the queue empty just before.
        VarHandle.fullFence();
        Thread waiting = consumer;
        if (waiting != null) {
            LockSupport.unpark(waiting);
        }
        return true;
    }

    /**
     * Moves up to a number of elements into a list, waiting for the first; called by one thread only.
     *
     * <p>Every element whose offer returned before the call is in place for it.
     *
     * @param target where to
     * @param limit most elements moved
     * @param timeoutNanoseconds longest wait for the first element
     * @return how many were moved
     */
    public int drainTo(List<? super T> target, int limit, long timeoutNanoseconds) {
        int moved = poll(target, limit);
        if (moved > 0 || timeoutNanoseconds <= 0) {
            return moved;
        }
        consumer = Thread.currentThread();
        try {
            moved = poll(target, limit);
            if (moved == 0) {
                LockSupport.parkNanos(this, timeoutNanoseconds);
                moved = poll(target, limit);
            }
            return moved;
        } finally {
            consumer = null;
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
