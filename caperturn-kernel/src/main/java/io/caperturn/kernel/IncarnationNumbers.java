package io.caperturn.kernel;

import java.time.Clock;
import java.util.concurrent.ThreadLocalRandom;

/** Source of incarnation numbers, by which the processes that one name has had are told apart. */
public final class IncarnationNumbers {
    private static final int RANDOM_BITS = 20;

    private IncarnationNumbers() {}

    /**
     * Draws the number of a process that starts now.
     *
     * @param clock source of time
     * @return the milliseconds since the epoch, followed by {@value #RANDOM_BITS} random bits
     */
    public static long generate(Clock clock) {
        return (clock.millis() << RANDOM_BITS) | ThreadLocalRandom.current().nextInt(1 << RANDOM_BITS);
    }
}
