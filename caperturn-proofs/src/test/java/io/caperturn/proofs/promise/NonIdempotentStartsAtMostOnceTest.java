package io.caperturn.proofs.promise;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that a non-idempotent request starts at most once. */
@Tag("process")
class NonIdempotentStartsAtMostOnceTest {
    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void requestRunsAtMostOnce(List<Fault> faults) {
        FaultOutcome outcome = FaultOutcomes.outcomeOf(faults);
        for (ClientExchange exchange : outcome.exchangesOfType(ClientExchange.RequestType.NON_IDEMPOTENT)) {
            long starts =
                    outcome
                            .executionRecord()
                            .countStartsPerTask(exchange.submission().identity())
                            .values()
                            .stream()
                            .mapToLong(Long::longValue)
                            .sum();
            assertTrue(starts <= 1, () -> starts + " starts of " + exchange);
        }
    }
}
