package io.caperturn.proofs.promise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.testkit.known.KnownFailures;
import io.caperturn.testkit.upstream.ExecutionRecordLine;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Tests that work has not started before a response that reports it as not run, and which work is refused while the
 * store is unavailable.
 *
 * <p>{@code attempt-not-run} means that this request started nothing, but an earlier one of the same work possibly did.
 */
@Tag("process")
@ExtendWith(KnownFailures.class)
class NotRunReportTest {
    /** Maximum time to an immediate refusal, shorter than any time-out that a request could have waited for. */
    private static final long IMMEDIATE_REFUSAL_MILLISECONDS = 2_500;

    static Stream<List<Fault>> storeOutages() {
        return Stream.of(List.of(Fault.STORE_DOWN), List.of(Fault.STORE_SILENT));
    }

    static Stream<List<Fault>> casesWithStoreUnavailable() {
        return FaultOutcomes.cases().filter(NotRunReportTest::makesStoreUnavailable);
    }

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void workReportedAsNotRunHadNotStarted(List<Fault> faults) {
        FaultOutcome outcome = FaultOutcomes.outcomeOf(faults);
        // The two tests below check the resubmissions that are left out here.
        exchangesReportedNotRun(outcome)
                .filter(exchange -> exchange.type() != ClientExchange.RequestType.DECLARED_RESUBMISSION)
                .filter(exchange -> !makesStoreUnavailable(faults) || !isResubmission(outcome, exchange))
                .forEach(exchange ->
                        assertEquals(List.of(), startsBeforeResponse(outcome, exchange), exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("casesWithStoreUnavailable")
    void undeclaredResubmissionIsNotReportedAsNotRunAfterStart(List<Fault> faults) {
        FaultOutcome outcome = FaultOutcomes.outcomeOf(faults);
        exchangesReportedNotRun(outcome)
                .filter(exchange -> exchange.type() != ClientExchange.RequestType.DECLARED_RESUBMISSION)
                .filter(exchange -> isResubmission(outcome, exchange))
                .forEach(exchange ->
                        assertEquals(List.of(), startsBeforeResponse(outcome, exchange), exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void declaredResubmissionIsNotReportedAsNotRunAfterStart(List<Fault> faults) {
        FaultOutcome outcome = FaultOutcomes.outcomeOf(faults);
        exchangesReportedNotRun(outcome)
                .filter(exchange -> exchange.type() == ClientExchange.RequestType.DECLARED_RESUBMISSION)
                .forEach(exchange ->
                        assertEquals(List.of(), startsBeforeResponse(outcome, exchange), exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void refusedWorkNeverStartsUnlessResubmitted(List<Fault> faults) {
        FaultOutcome outcome = FaultOutcomes.outcomeOf(faults);
        Stream.concat(exchangesReportedNotRun(outcome), exchangesReportedAttemptNotRun(outcome))
                .filter(exchange -> outcome.countSubmissions(exchange) == 1)
                .forEach(exchange ->
                        assertEquals(List.of(), starts(outcome, exchange).toList(), exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("storeOutages")
    void newJobsAreRefusedImmediatelyWithoutStore(List<Fault> faults) {
        List<ClientExchange> newJobs =
                FaultOutcomes.outcomeOf(faults).exchangesOfType(ClientExchange.RequestType.JOB).stream()
                        .filter(exchange -> exchange.stage() == ClientExchange.Stage.DURING_FAULT
                                && exchange.submission().key().startsWith("fresh"))
                        .toList();
        assertFalse(newJobs.isEmpty());
        newJobs.forEach(exchange -> assertTrue(
                exchange.response().execution().equals("attempt-not-run")
                        && exchange.response().headers().containsKey("retry-after")
                        && exchange.response().duration().toMillis() < IMMEDIATE_REFUSAL_MILLISECONDS,
                exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("storeOutages")
    void idempotentRequestsCompleteWithoutStore(List<Fault> faults) {
        FaultOutcomes.outcomeOf(faults).exchangesOfType(ClientExchange.RequestType.IDEMPOTENT).stream()
                .filter(exchange -> exchange.stage() == ClientExchange.Stage.DURING_FAULT)
                .forEach(exchange -> assertTrue(exchange.response().isSuccessful(), exchange::toString));
    }

    private static boolean makesStoreUnavailable(List<Fault> faults) {
        return faults.contains(Fault.STORE_DOWN)
                || faults.contains(Fault.STORE_SILENT)
                || faults.contains(Fault.STORE_SLOW);
    }

    /** Returns whether the client had sent the same work before. */
    private static boolean isResubmission(FaultOutcome outcome, ClientExchange exchange) {
        ClientExchange first = outcome.exchanges().stream()
                .filter(other -> other.submission()
                        .identity()
                        .equals(exchange.submission().identity()))
                .findFirst()
                .orElseThrow();
        return first != exchange;
    }

    private static Stream<ClientExchange> exchangesReportedNotRun(FaultOutcome outcome) {
        return outcome.answeredExchanges().stream()
                .filter(exchange -> exchange.response().execution().equals("not-run"));
    }

    private static Stream<ClientExchange> exchangesReportedAttemptNotRun(FaultOutcome outcome) {
        return outcome.answeredExchanges().stream()
                .filter(exchange -> exchange.response().execution().equals("attempt-not-run"));
    }

    private static List<ExecutionRecordLine> startsBeforeResponse(FaultOutcome outcome, ClientExchange exchange) {
        long receivedAt = exchange.receivedAt().toEpochMilli();
        return starts(outcome, exchange)
                .filter(start -> start.time() < receivedAt)
                .toList();
    }

    private static Stream<ExecutionRecordLine> starts(FaultOutcome outcome, ClientExchange exchange) {
        String identity = exchange.submission().identity();
        return outcome.executionRecord().starts().stream()
                .filter(start -> start.submission().equals(identity));
    }
}
