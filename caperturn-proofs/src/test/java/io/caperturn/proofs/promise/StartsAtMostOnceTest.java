package io.caperturn.proofs.promise;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

@Tag("process")
class StartsAtMostOnceTest {
    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void noTaskOfAJobStartsTwice(List<Fault> faults) {
        FaultOutcome outcome = FaultOutcomes.of(faults);
        Map<String, Long> twice = new TreeMap<>();
        for (Exchange exchange :
                outcome.exchanges().stream().filter(Exchange::isOfJob).toList()) {
            String identity = exchange.submission().identity();
            outcome.records().startsPerTask(identity).forEach((task, starts) -> {
                if (starts > 1) {
                    twice.put(identity + "/" + task, starts);
                }
            });
        }
        assertEquals(Map.of(), twice);
    }

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void everyTaskOfACompleteJobStarted(List<Fault> faults) {
        FaultOutcome outcome = FaultOutcomes.of(faults);
        outcome.complete().stream()
                .filter(Exchange::isOfJob)
                .forEach(exchange -> assertEquals(
                        exchange.submission().tasks(),
                        outcome.records()
                                .startsPerTask(exchange.submission().identity())
                                .size(),
                        exchange::toString));
    }
}
