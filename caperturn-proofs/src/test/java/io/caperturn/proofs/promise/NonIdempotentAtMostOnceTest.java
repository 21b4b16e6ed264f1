package io.caperturn.proofs.promise;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

@Tag("process")
class NonIdempotentAtMostOnceTest {
    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void requestRunsAtMostOnce(List<Fault> faults) {
        FaultOutcome outcome = FaultOutcomes.of(faults);
        for (Exchange exchange : outcome.of(Exchange.Sort.NON_IDEMPOTENT)) {
            long starts = outcome.records().startsPerTask(exchange.submission().identity()).values().stream()
                    .mapToLong(Long::longValue)
                    .sum();
            assertTrue(starts <= 1, () -> starts + " starts of " + exchange);
        }
    }
}
