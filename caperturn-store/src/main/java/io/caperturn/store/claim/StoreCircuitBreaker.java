package io.caperturn.store.claim;

import java.time.Duration;

/**
 * Circuit breaker of the calls to the store; open while the store is known to be down.
 *
 * <p>A single reply that is lost quickly does not open it, because the next call usually succeeds. Read by any thread,
 * changed only by the thread of the {@link ClaimWriter}.
 */
final class StoreCircuitBreaker {
    private static final Duration SLOW_CALL_THRESHOLD = Duration.ofMillis(250);
    private static final int FAILURES_TO_OPEN = 2;

    private volatile boolean open;
    private int failures;

    boolean isOpen() {
        return open;
    }

    void onSuccess() {
        failures = 0;
        open = false;
    }

    void onRefusal() {
        failures++;
        open = true;
    }

    void onLostReply(Duration elapsed) {
        failures++;
        open = open || failures >= FAILURES_TO_OPEN || elapsed.compareTo(SLOW_CALL_THRESHOLD) >= 0;
    }
}
