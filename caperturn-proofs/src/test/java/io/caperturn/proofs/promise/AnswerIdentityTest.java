package io.caperturn.proofs.promise;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Tests that each result belongs to the submission that it is returned for. */
@Tag("process")
class AnswerIdentityTest {
    @ParameterizedTest
    @MethodSource("io.caperturn.proofs.promise.FaultOutcomes#cases")
    void jobResultsBelongToItsTasks(List<Fault> faults) {
        FaultOutcomes.outcomeOf(faults).successfulExchanges().stream()
                .filter(ClientExchange::isJob)
                .forEach(exchange -> {
                    for (JsonNode result : exchange.response().body().path("results")) {
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
    void requestResultBelongsToRequest(List<Fault> faults) {
        FaultOutcomes.outcomeOf(faults).successfulExchanges().stream()
                .filter(exchange -> !exchange.isJob())
                .forEach(exchange -> assertEquals(
                        exchange.submission().identity(),
                        exchange.response().body().at("/result/submission").asText(),
                        exchange::toString));
    }
}
