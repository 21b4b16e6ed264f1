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

/** Tests of the ring's bounds and of the wake-up of its consumer. */
class RingTest {
    @ParameterizedTest
    @CsvSource({"2, 2", "3, 4", "4, 4", "1000, 1024"})
    void refusesBeyondItsCapacity(int asked, int capacity) {
        Ring<Integer> ring = new Ring<>(asked);

        IntStream.range(0, capacity).forEach(element -> assertTrue(ring.offer(element)));

        assertEquals(capacity, ring.capacity());
        assertEquals(capacity, ring.size());
        assertFalse(ring.offer(capacity));
    }

    @Test
    void refusesACapacityBelowTwo() {
        assertThrows(IllegalArgumentException.class, () -> new Ring<>(1));
    }

    @Test
    void drainsInOrderUpToTheLimit() {
        Ring<Integer> ring = new Ring<>(8);
        IntStream.range(0, 5).forEach(ring::offer);
        List<Integer> drained = new ArrayList<>();

        assertEquals(3, ring.drainTo(drained, 3, 0));
        assertEquals(2, ring.drainTo(drained, 3, 0));

        assertEquals(List.of(0, 1, 2, 3, 4), drained);
    }

    @Test
    void wakesAWaitingConsumer() throws InterruptedException {
        Ring<String> ring = new Ring<>(2);
        CountDownLatch drained = new CountDownLatch(1);
        Thread consumer = Thread.ofPlatform().start(() -> {
            ring.drainTo(new ArrayList<>(), 1, TimeUnit.MINUTES.toNanos(1));
            drained.countDown();
        });
        while (consumer.getState() != Thread.State.TIMED_WAITING) {
            Thread.onSpinWait();
        }

        ring.offer("element");

        assertTrue(drained.await(10, TimeUnit.SECONDS));
    }
}
