package io.caperturn.proofs.promise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

@Tag("process")
class WholeAnswerOrFailureTest {
    /** What the way to the client and back may add to a deadline that the entry keeps. */
    private static final long TRANSPORT_ALLOWANCE_MILLISECONDS = 500;

    private static final Set<String> EXECUTIONS = Set.of("not-run", "attempt-not-run", "may-have-run", "ran");

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void completeJobHasEveryResultOnceInOrder(List<Fault> faults) {
        FaultOutcomes.of(faults).complete().stream()
                .filter(Exchange::isOfJob)
                .forEach(exchange -> assertEquals(
                        IntStream.range(0, exchange.submission().tasks())
                                .mapToObj(index -> "t" + index)
                                .toList(),
                        exchange.answer()
                                .body()
                                .path("results")
                                .valueStream()
                                .map(result -> result.path("task").asText())
                                .toList(),
                        exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void whatIsNotCompleteIsAClearFailure(List<Fault> faults) {
        FaultOutcomes.of(faults).answered().stream()
                .filter(exchange -> !exchange.answer().isComplete())
                .forEach(exchange -> assertTrue(
                        !exchange.answer().reason().isEmpty()
                                && EXECUTIONS.contains(exchange.answer().execution()),
                        exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void everyRequestIsAnsweredWithinItsDeadline(List<Fault> faults) {
        long bound = FaultScenario.DEADLINE_MILLISECONDS + TRANSPORT_ALLOWANCE_MILLISECONDS;
        FaultOutcomes.of(faults).exchanges().stream()
                .filter(exchange -> !isCutOff(exchange, faults))
                .forEach(exchange -> assertTrue(
                        exchange.answer().isAnswered()
                                && exchange.answer().took().toMillis() <= bound,
                        exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void clusterServesAgainAfterTheFault(List<Fault> faults) {
        assertTrue(FaultOutcomes.of(faults).recovered());
    }

    /** Says whether the fault itself came between the client and the entry that it asked. */
    private static boolean isCutOff(Exchange exchange, List<Fault> faults) {
        return exchange.entry() == 0
                && exchange.stage() == Exchange.Stage.BEFORE_FAULT
                && faults.stream().anyMatch(Fault::cutsClientOff);
    }
}
