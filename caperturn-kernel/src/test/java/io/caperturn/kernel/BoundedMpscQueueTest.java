package io.caperturn.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests of the capacity of the queue, of its order and of the wake-up of its consumer. */
class BoundedMpscQueueTest {
    @ParameterizedTest
    @CsvSource({"2, 2", "3, 4", "4, 4", "1000, 1024"})
    void rejectsElementsBeyondItsCapacity(int requestedCapacity, int capacity) {
        BoundedMpscQueue<Integer> queue = new BoundedMpscQueue<>(requestedCapacity);

        IntStream.range(0, capacity).forEach(element -> assertTrue(queue.offer(element)));

        assertEquals(capacity, queue.capacity());
        assertEquals(capacity, queue.size());
        assertFalse(queue.offer(capacity));
    }

    @Test
    void rejectsACapacityBelowTwo() {
        assertThrows(IllegalArgumentException.class, () -> new BoundedMpscQueue<>(1));
    }

    @Test
    void drainsInOrderUpToTheLimit() {
        BoundedMpscQueue<Integer> queue = new BoundedMpscQueue<>(8);
        IntStream.range(0, 5).forEach(queue::offer);
        List<Integer> drained = new ArrayList<>();

        assertEquals(3, queue.drainTo(drained, /* limit= */ 3, /* timeoutNanoseconds= */ 0));
        assertEquals(2, queue.drainTo(drained, 3, 0));

        assertEquals(List.of(0, 1, 2, 3, 4), drained);
    }

    @Test
    void wakesAWaitingConsumer() throws InterruptedException {
        BoundedMpscQueue<String> queue = new BoundedMpscQueue<>(2);
        CountDownLatch drained = new CountDownLatch(1);
        Thread consumer = Thread.ofPlatform().start(() -> {
            queue.drainTo(new ArrayList<>(), 1, TimeUnit.MINUTES.toNanos(1));
            drained.countDown();
        });
        while (consumer.getState() != Thread.State.TIMED_WAITING) {
            Thread.onSpinWait();
        }

        queue.offer("element");

        assertTrue(drained.await(10, TimeUnit.SECONDS));
    }
}
