package io.caperturn.proofs.promise;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that no task of a job starts more than once. The tag {@code process} marks tests that start separate processes.
 */
@Tag("process")
class StartsAtMostOnceTest {
    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void jobTaskStartsAtMostOnce(List<Fault> faults) {
        FaultOutcome outcome = FaultOutcomes.outcomeOf(faults);
        Map<String, Long> repeatedStarts = new TreeMap<>();
        for (ClientExchange exchange :
                outcome.exchanges().stream().filter(ClientExchange::isJob).toList()) {
            String identity = exchange.submission().identity();
            outcome.executionRecord().countStartsPerTask(identity).forEach((task, starts) -> {
                if (starts > 1) {
                    repeatedStarts.put(identity + "/" + task, starts);
                }
            });
        }
        assertEquals(Map.of(), repeatedStarts);
    }

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void everyTaskOfCompleteJobStarted(List<Fault> faults) {
        FaultOutcome outcome = FaultOutcomes.outcomeOf(faults);
        outcome.successfulExchanges().stream()
                .filter(ClientExchange::isJob)
                .forEach(exchange -> assertEquals(
                        exchange.submission().taskCount(),
                        outcome.executionRecord()
                                .countStartsPerTask(exchange.submission().identity())
                                .size(),
                        exchange::toString));
    }
}
