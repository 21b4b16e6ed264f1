package io.caperturn.proofs.promise;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

@Tag("process")
class OwnAnswerTest {
    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void resultsOfAJobAreThoseOfItsOwnTasks(List<Fault> faults) {
        FaultOutcomes.of(faults).complete().stream().filter(Exchange::isOfJob).forEach(exchange -> {
            for (JsonNode result : exchange.answer().body().path("results")) {
                assertEquals(
                        exchange.submission().identity() + "/"
                                + result.path("task").asText(),
                        result.at("/result/submission").asText() + "/"
                                + result.at("/result/task").asText(),
                        exchange::toString);
            }
        });
    }

    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void resultOfARequestIsItsOwn(List<Fault> faults) {
        FaultOutcomes.of(faults).complete().stream()
                .filter(exchange -> !exchange.isOfJob())
                .forEach(exchange -> assertEquals(
                        exchange.submission().identity(),
                        exchange.answer().body().at("/result/submission").asText(),
                        exchange::toString));
    }
}
