package io.caperturn.proofs.promise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that every request gets a complete result or a failure with its reason, within the deadline. */
@Tag("process")
class CompleteAnswerOrFailureTest {
    /** Time that transport between client and entry can add to the deadline, which the entry enforces. */
    private static final long TRANSPORT_ALLOWANCE_MILLISECONDS = 500;

    private static final Set<String> EXECUTION_VALUES = Set.of("not-run", "attempt-not-run", "may-have-run", "ran");

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void completeJobHasEveryResultOnceInOrder(List<Fault> faults) {
        FaultOutcomes.outcomeOf(faults).successfulExchanges().stream()
                .filter(ClientExchange::isJob)
                .forEach(exchange -> assertEquals(
                        IntStream.range(0, exchange.submission().taskCount())
                                .mapToObj(index -> "t" + index)
                                .toList(),
                        exchange.response()
                                .body()
                                .path("results")
                                .valueStream()
                                .map(result -> result.path("task").asText())
                                .toList(),
                        exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void incompleteWorkHasReasonAndExecution(List<Fault> faults) {
        FaultOutcomes.outcomeOf(faults).answeredExchanges().stream()
                .filter(exchange -> !exchange.response().isSuccessful())
                .forEach(exchange -> assertTrue(
                        !exchange.response().reason().isEmpty()
                                && EXECUTION_VALUES.contains(exchange.response().execution()),
                        exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void everyRequestIsAnsweredWithinItsDeadline(List<Fault> faults) {
        long maximumMilliseconds = FaultScenario.DEADLINE_MILLISECONDS + TRANSPORT_ALLOWANCE_MILLISECONDS;
        FaultOutcomes.outcomeOf(faults).exchanges().stream()
                .filter(exchange -> !isClientCutOff(exchange, faults))
                .forEach(exchange -> assertTrue(
                        exchange.response().isReceived()
                                && exchange.response().duration().toMillis() <= maximumMilliseconds,
                        exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void clusterServesAgainAfterTheFault(List<Fault> faults) {
        assertTrue(FaultOutcomes.outcomeOf(faults).recovered());
    }

    /** Returns whether a fault cut the client off from the entry while the request was in progress. */
    private static boolean isClientCutOff(ClientExchange exchange, List<Fault> faults) {
        return exchange.entryIndex() == 0
                && exchange.stage() == ClientExchange.Stage.BEFORE_FAULT
                && faults.stream().anyMatch(Fault::cutsClientOff);
    }
}
