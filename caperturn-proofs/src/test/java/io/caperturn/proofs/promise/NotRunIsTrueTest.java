package io.caperturn.proofs.promise;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.caperturn.testkit.known.KnownRed;
import io.caperturn.testkit.upstream.RecordLine;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

@Tag("process")
@ExtendWith(KnownRed.class)
class NotRunIsTrueTest {
    /** A refusal at once: far below any time-out that a request could have waited for. */
    private static final long AT_ONCE_MILLISECONDS = 2_500;

    static Stream<List<Fault>> storeOutages() {
        return Stream.of(List.of(Fault.STORE_DOWN), List.of(Fault.STORE_SILENT));
    }

    static Stream<List<Fault>> casesWithoutTheStore() {
        return FaultOutcomes.cases().filter(NotRunIsTrueTest::cutsOffTheStore);
    }

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void workThatWasRefusedAsNotRunHadNotStarted(List<Fault> faults) {
        FaultOutcome outcome = FaultOutcomes.of(faults);
        notRun(outcome)
                .filter(exchange -> exchange.sort() != Exchange.Sort.JOB_AGAIN)
                .filter(exchange -> !cutsOffTheStore(faults) || !isSentAgain(outcome, exchange))
                .forEach(exchange -> assertEquals(List.of(), startsBefore(outcome, exchange), exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("casesWithoutTheStore")
    void undeclaredResubmissionIsNotRefusedAsNotRunAfterAStart(List<Fault> faults) {
        FaultOutcome outcome = FaultOutcomes.of(faults);
        notRun(outcome)
                .filter(exchange -> exchange.sort() != Exchange.Sort.JOB_AGAIN)
                .filter(exchange -> isSentAgain(outcome, exchange))
                .forEach(exchange -> assertEquals(List.of(), startsBefore(outcome, exchange), exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void jobSubmittedAgainIsNotRefusedAsNotRunAfterAStart(List<Fault> faults) {
        FaultOutcome outcome = FaultOutcomes.of(faults);
        notRun(outcome)
                .filter(exchange -> exchange.sort() == Exchange.Sort.JOB_AGAIN)
                .forEach(exchange -> assertEquals(List.of(), startsBefore(outcome, exchange), exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void workThatWasRefusedNeverStartsUnlessSentAgain(List<Fault> faults) {
        FaultOutcome outcome = FaultOutcomes.of(faults);
        Stream.concat(notRun(outcome), attemptNotRun(outcome))
                .filter(exchange -> outcome.timesSent(exchange) == 1)
                .forEach(exchange ->
                        assertEquals(List.of(), starts(outcome, exchange).toList(), exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("storeOutages")
    void withoutTheStoreNewJobsAreRefusedAtOnce(List<Fault> faults) {
        List<Exchange> fresh = FaultOutcomes.of(faults).of(Exchange.Sort.JOB).stream()
                .filter(exchange -> exchange.stage() == Exchange.Stage.DURING_FAULT
                        && exchange.submission().key().startsWith("fresh"))
                .toList();
        assertFalse(fresh.isEmpty());
        fresh.forEach(exchange -> assertTrue(
                exchange.answer().execution().equals("attempt-not-run")
                        && exchange.answer().headers().containsKey("retry-after")
                        && exchange.answer().took().toMillis() < AT_ONCE_MILLISECONDS,
                exchange::toString));
    }

    @ParameterizedTest
    @MethodSource("storeOutages")
    void withoutTheStoreIdempotentRequestsGoOn(List<Fault> faults) {
        FaultOutcomes.of(faults).of(Exchange.Sort.IDEMPOTENT).stream()
                .filter(exchange -> exchange.stage() == Exchange.Stage.DURING_FAULT)
                .forEach(exchange -> assertTrue(exchange.answer().isComplete(), exchange::toString));
    }

    private static boolean cutsOffTheStore(List<Fault> faults) {
        return faults.contains(Fault.STORE_DOWN)
                || faults.contains(Fault.STORE_SILENT)
                || faults.contains(Fault.STORE_SLOW);
    }

    /** Says whether the client had sent the same work before. */
    private static boolean isSentAgain(FaultOutcome outcome, Exchange exchange) {
        Exchange first = outcome.exchanges().stream()
                .filter(other -> other.submission()
                        .identity()
                        .equals(exchange.submission().identity()))
                .findFirst()
                .orElseThrow();
        return first != exchange;
    }

    private static Stream<Exchange> notRun(FaultOutcome outcome) {
        return outcome.answered().stream()
                .filter(exchange -> exchange.answer().execution().equals("not-run"));
    }

    private static Stream<Exchange> attemptNotRun(FaultOutcome outcome) {
        return outcome.answered().stream()
                .filter(exchange -> exchange.answer().execution().equals("attempt-not-run"));
    }

    private static List<RecordLine> startsBefore(FaultOutcome outcome, Exchange exchange) {
        long answeredAt = exchange.answeredAt().toEpochMilli();
        return starts(outcome, exchange)
                .filter(start -> start.time() < answeredAt)
                .toList();
    }

    private static Stream<RecordLine> starts(FaultOutcome outcome, Exchange exchange) {
        String identity = exchange.submission().identity();
        return outcome.records().starts().stream()
                .filter(start -> start.submission().equals(identity));
    }
}
