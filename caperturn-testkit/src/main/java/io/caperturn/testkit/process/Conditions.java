package io.caperturn.testkit.process;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Polling waits for conditions and values. */
public final class Conditions {
    private static final long POLL_INTERVAL_MILLISECONDS = 10;

    private Conditions() {}

    /**
     * Waits until a condition holds.
     *
     * @param description the condition in words, for the failure message
     * @param timeout the maximum wait
     * @param condition the condition
     * @throws AssertionError if the condition does not hold in time
     */
    public static void await(String description, Duration timeout, BooleanSupplier condition) {
        awaitValue(description, timeout, () -> condition.getAsBoolean() ? Optional.of(true) : Optional.empty());
    }

    /**
     * Waits until a value is present.
     *
     * @param <T> the value's type
     * @param description the condition in words, for the failure message
     * @param timeout the maximum wait
     * @param source returns the value, or empty while it is absent
     * @return the value
     * @throws AssertionError if no value is present in time
     */
    public static <T> T awaitValue(String description, Duration timeout, Supplier<Optional<T>> source) {
        long deadlineNanoseconds = System.nanoTime() + timeout.toNanos();
        while (true) {
            Optional<T> value = source.get();
            if (value.isPresent()) {
                return value.get();
            }
            if (System.nanoTime() > deadlineNanoseconds) {
                throw new AssertionError("timed out after " + timeout.toMillis() + " ms waiting for: " + description);
            }
            try {
                Thread.sleep(POLL_INTERVAL_MILLISECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new AssertionError("interrupted while waiting for " + description, e);
            }
        }
    }
}
