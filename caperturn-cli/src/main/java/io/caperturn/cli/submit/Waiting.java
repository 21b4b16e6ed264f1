package io.caperturn.cli.submit;

import java.time.Duration;

/** Source of time for a client that waits before it comes back. */
public interface Waiting {
    /** The system's clock. */
    Waiting SYSTEM = new Waiting() {
        @Override
        public Duration now() {
            return Duration.ofNanos(System.nanoTime());
        }

        @Override
        public void pause(Duration duration) throws InterruptedException {
            Thread.sleep(duration);
        }
    };

    /**
     * Returns the time since some fixed moment.
     *
     * @return the time
     */
    Duration now();

    /**
     * Waits.
     *
     * @param duration how long
     * @throws InterruptedException if the thread is interrupted
     */
    void pause(Duration duration) throws InterruptedException;
}
