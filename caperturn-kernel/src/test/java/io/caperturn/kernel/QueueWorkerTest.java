package io.caperturn.kernel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests of the worker thread: its elements, the capacity of its queue, failures of its handler and its interval. */
class QueueWorkerTest {
    private static final int WAIT_SECONDS = 10;

    private final Recorder recorder = new Recorder();
    private final QueueWorker<String> worker =
            new QueueWorker<>("test-worker", /* queueCapacity= */ 2, Duration.ofMillis(1), recorder);

    @AfterEach
    void stop() {
        worker.stop();
    }

    @Test
    void handlesElementsInOrderOnItsThread() throws InterruptedException {
        worker.offer("first");
        worker.offer("second");
        worker.start();

        assertEquals("first on test-worker", recorder.next());
        assertEquals("second on test-worker", recorder.next());
    }

    @Test
    void rejectsElementsBeyondItsCapacity() {
        worker.offer("first");
        worker.offer("second");

        assertFalse(worker.offer("third"));
        assertEquals(2, worker.queueSize());
    }

    @Test
    void continuesAfterAFailedBatch() throws InterruptedException {
        worker.start();
        worker.offer("fail");

        assertEquals("fail on test-worker", recorder.next());
        worker.offer("next");
        assertEquals("next on test-worker", recorder.next());
    }

    @Test
    void callsOnIntervalWithoutElements() throws InterruptedException {
        worker.start();

        assertTrue(recorder.remainingIntervals.await(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    /** Handler that records the elements and counts the intervals; it fails on the element "fail". */
    private static final class Recorder implements QueueWorker.Handler<String> {
        private final BlockingQueue<String> handled = new LinkedBlockingQueue<>();
        private final CountDownLatch remainingIntervals = new CountDownLatch(3);

        /** Returns the next handled element with the name of its thread, or null after 10 s. */
        private String next() throws InterruptedException {
            return handled.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        }

        @Override
        public void onBatch(List<String> batch) {
            batch.forEach(element ->
                    handled.add(element + " on " + Thread.currentThread().getName()));
            if (batch.contains("fail")) {
                throw new IllegalStateException("simulated failure");
            }
        }

        @Override
        public void onInterval() {
            remainingIntervals.countDown();
        }
    }
}
