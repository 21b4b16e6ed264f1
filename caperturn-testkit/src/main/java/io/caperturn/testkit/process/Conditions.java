package io.caperturn.testkit.process;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for conditions. */
public final class Conditions {
    private static final long POLL_MILLISECONDS = 10;

    private Conditions() {}

    /**
     * Waits until a condition holds.
     *
     * @param description what is waited for, named in the failure
     * @param timeout the longest wait
     * @param condition the condition
     * @throws AssertionError if it does not hold in time
     */
    public static void await(String description, Duration timeout, BooleanSupplier condition) {
        awaitValue(description, timeout, () -> condition.getAsBoolean() ? Optional.of(true) : Optional.empty());
    }

    /**
     * Waits until there is a value.
     *
     * @param <T> the value's type
     * @param description what is waited for, named in the failure
     * @param timeout the longest wait
     * @param source gives the value once it is there
     * @return the value
     * @throws AssertionError if there is none in time
     */
    public static <T> T awaitValue(String description, Duration timeout, Supplier<Optional<T>> source) {
        long end = System.nanoTime() + timeout.toNanos();
        while (true) {
            Optional<T> value = source.get();
            if (value.isPresent()) {
                return value.get();
            }
            if (System.nanoTime() > end) {
                throw new AssertionError("not within " + timeout.toMillis() + " ms: " + description);
            }
            try {
                Thread.sleep(POLL_MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new AssertionError("interrupted while waiting for " + description, e);
            }
        }
    }
}
