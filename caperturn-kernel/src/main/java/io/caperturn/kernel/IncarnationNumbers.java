package io.caperturn.kernel;

import java.time.Clock;
import java.util.concurrent.ThreadLocalRandom;

/** Generator of incarnation numbers, which distinguish successive processes of the same name. */
public final class IncarnationNumbers {
    private static final int RANDOM_BITS = 20;

    private IncarnationNumbers() {}

    /**
     * Generates the incarnation number of a process that starts now.
     *
     * @param clock the clock that supplies the present time
     * @return the milliseconds since the epoch in the high bits, followed by {@value #RANDOM_BITS} random bits
     */
    public static long generate(Clock clock) {
        return (clock.millis() << RANDOM_BITS) | ThreadLocalRandom.current().nextInt(1 << RANDOM_BITS);
    }
}
