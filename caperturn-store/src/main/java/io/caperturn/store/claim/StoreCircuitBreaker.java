package io.caperturn.store.claim;

import java.time.Duration;

/**
 * Circuit breaker for calls to the store; open while the store is known to be down, so that claims are refused.
 *
 * <p>A single lost reply does not open it unless the call was slow, because the next call usually succeeds. Read by any
 * thread, changed only by the thread of the {@link ClaimWriter}.
 */
final class StoreCircuitBreaker {
    /** Duration from which a call whose reply was lost counts as slow. */
    private static final Duration SLOW_CALL_THRESHOLD = Duration.ofMillis(250);

    /** Number of successive failures from which a lost reply opens the circuit breaker, however fast the call was. */
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
