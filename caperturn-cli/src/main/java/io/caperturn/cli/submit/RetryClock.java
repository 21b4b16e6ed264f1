package io.caperturn.cli.submit;

import java.time.Duration;

/** Monotonic clock that measures deadlines and waits before a retry; tests replace it. */
public interface RetryClock {
    /** Clock of the system. */
    RetryClock SYSTEM = new RetryClock() {
        @Override
        public Duration now() {
            return Duration.ofNanos(System.nanoTime());
        }

        @Override
        public void sleep(Duration duration) throws InterruptedException {
            Thread.sleep(duration);
        }
    };

    /**
     * Returns the time since an arbitrary fixed moment.
     *
     * @return the time
     */
    Duration now();

    /**
     * Blocks the calling thread.
     *
     * @param duration the time to wait
     * @throws InterruptedException if the thread is interrupted
     */
    void sleep(Duration duration) throws InterruptedException;
}
