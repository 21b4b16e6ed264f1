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

/** Tests of the thread with a task of its own. */
class DutyTest {
    private static final int WAIT_SECONDS = 10;

    private final Recorder recorder = new Recorder();
    private final QueueWorker<String> duty = new QueueWorker<>("test-duty", 2, Duration.ofMillis(1), recorder);

    @AfterEach
    void stop() {
        duty.stop();
    }

    @Test
    void handlesElementsInOrderOnItsThread() throws InterruptedException {
        duty.offer("first");
        duty.offer("second");
        duty.start();

        assertEquals("first on test-duty", recorder.next());
        assertEquals("second on test-duty", recorder.next());
    }

    @Test
    void refusesBeyondItsRing() {
        duty.offer("first");
        duty.offer("second");

        assertFalse(duty.offer("third"));
        assertEquals(2, duty.queueSize());
    }

    @Test
    void goesOnAfterAStepThatFailed() throws InterruptedException {
        duty.start();
        duty.offer("fail");

        assertEquals("fail on test-duty", recorder.next());
        duty.offer("next");
        assertEquals("next on test-duty", recorder.next());
    }

    @Test
    void callsTheIntervalWithoutElements() throws InterruptedException {
        duty.start();

        assertTrue(recorder.intervals.await(WAIT_SECONDS, TimeUnit.SECONDS));
    }

    /** Work that notes what it handles and fails as told. */
    private static final class Recorder implements QueueWorker.Handler<String> {
        private final BlockingQueue<String> handled = new LinkedBlockingQueue<>();
        private final CountDownLatch intervals = new CountDownLatch(3);

        private String next() throws InterruptedException {
            return handled.poll(WAIT_SECONDS, TimeUnit.SECONDS);
        }

        @Override
        public void onBatch(List<String> batch) {
            batch.forEach(element ->
                    handled.add(element + " on " + Thread.currentThread().getName()));
            if (batch.contains("fail")) {
                throw new IllegalStateException("told to");
            }
        }

        @Override
        public void onInterval() {
            intervals.countDown();
        }
    }
}
