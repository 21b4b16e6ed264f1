package io.caperturn.store.claim;

import java.time.Duration;

/**
 * Memory of whether the store answers; open while it is known not to.
 *
 * <p>One quick loss of a reply does not open it, since the next call usually finds the store in order. Read by any
 * thread, changed by the {@link ClaimWriter}'s only.
 */
final class StoreCircuit {
    private static final Duration SLOW_CALL = Duration.ofMillis(250);
    private static final int FAILURES_TO_OPEN = 2;

    private volatile boolean open;
    private int failures;

    boolean isOpen() {
        return open;
    }

    void succeeded() {
        failures = 0;
        open = false;
    }

    void refused() {
        failures++;
        open = true;
    }

    void lost(Duration elapsed) {
        failures++;
        open = open || failures >= FAILURES_TO_OPEN || elapsed.compareTo(SLOW_CALL) >= 0;
    }
}
