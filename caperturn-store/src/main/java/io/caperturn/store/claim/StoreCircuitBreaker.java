package io.caperturn.store.claim;

import java.time.Duration;

/**
 * Circuit breaker for calls to the store; open while the store is known to be down, so that claims are refused.
 *
 * <p>A single lost reply does not open the circuit breaker unless the call was slow, because the next call usually
 * succeeds. {@link #isOpen} may be called from any thread, the other methods only on the thread of the
 * {@link ClaimWriter}.
 */
final class StoreCircuitBreaker {
    /** Duration from which a call whose reply was lost counts as slow. */
    private static final Duration SLOW_CALL_THRESHOLD = Duration.ofMillis(250);

    /** Number of successive failures from which a lost reply opens the circuit breaker, however fast the call was. */
    private static final int FAILURES_TO_OPEN = 2;

    private volatile boolean open;
    private int successiveFailures;

    boolean isOpen() {
        return open;
    }

    void onReply() {
        successiveFailures = 0;
        open = false;
    }

    void onUnavailable() {
        successiveFailures++;
        open = true;
    }

    void onLostReply(Duration elapsed) {
        successiveFailures++;
        open = open || successiveFailures >= FAILURES_TO_OPEN || elapsed.compareTo(SLOW_CALL_THRESHOLD) >= 0;
    }
}
