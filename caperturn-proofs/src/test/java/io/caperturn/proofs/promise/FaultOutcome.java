package io.caperturn.proofs.promise;

import io.caperturn.testkit.process.ExecutionRecord;
import java.util.List;

/**
 * Outcome of a fault scenario, in which clients submit work to two entries (processes that accept submissions).
 *
 * @param exchanges the requests of clients with their responses, in the order of sending
 * @param executionRecord the starts and ends of tasks at the upstreams, read after all tasks had ended
 * @param recovered whether both entries of the same cluster completed jobs again after the faults had ended
 */
record FaultOutcome(List<ClientExchange> exchanges, ExecutionRecord executionRecord, boolean recovered) {
    FaultOutcome {
        exchanges = List.copyOf(exchanges);
    }

    /** Returns the exchanges with a complete HTTP response of any status. */
    List<ClientExchange> answeredExchanges() {
        return exchanges.stream()
                .filter(exchange -> exchange.response().isReceived())
                .toList();
    }

    /** Returns the exchanges with status 200, whose work was completed. */
    List<ClientExchange> successfulExchanges() {
        return exchanges.stream()
                .filter(exchange -> exchange.response().isSuccessful())
                .toList();
    }

    /** Returns the exchanges of a request type. */
    List<ClientExchange> exchangesOfType(ClientExchange.RequestType type) {
        return exchanges.stream().filter(exchange -> exchange.type() == type).toList();
    }

    /** Returns how often the submission of an exchange was sent, resubmissions included. */
    long countSubmissions(ClientExchange exchange) {
        return exchanges.stream()
                .filter(other -> other.submission()
                        .identity()
                        .equals(exchange.submission().identity()))
                .count();
    }
}
